#pragma once

#include "lavenderpick/Forward/ServingConfiguration.h"
#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderpick {

/// A configuration as it stands in the store.
struct ConfigurationSnapshot
{
    std::int64_t revision { 0 }; ///< Rises with every change; orders snapshots of all gateways.
    std::string text;            ///< As stored, so that a peer can hand it on unchanged.

    bool operator==(const ConfigurationSnapshot &) const = default;
};

/// One change of the listed upstreams.
struct UpstreamChange
{
    std::string id;
    std::optional<UpstreamRecord> record {}; ///< Empty when it is no longer listed.

    bool operator==(const UpstreamChange &) const = default;
};

/// Receives what a `ControlPlaneSource` learns.
class ControlPlaneObserver
{
public:
    virtual ~ControlPlaneObserver() = default;

    virtual void configurationRead(const ConfigurationSnapshot &snapshot) = 0;
    virtual void upstreamsListed(const std::vector<UpstreamRecord> &records) = 0;
    virtual void upstreamChanged(const UpstreamChange &change) = 0;

    /// Addresses (`host:port`) of all gateways that registered.
    virtual void membersListed(const std::vector<std::string> &addresses) = 0;

    virtual void storeLost(const std::string &reason) = 0;
    virtual void storeRegained() = 0;
};

/// Where configuration, upstreams and members come from.
class ControlPlaneSource
{
public:
    virtual ~ControlPlaneSource() = default;

    /// Begins to follow the store; calls `observer` from the event loop. `memberAddress` is where
    /// peers reach this gateway.
    virtual void start(ControlPlaneObserver &observer, const std::string &memberAddress) = 0;

    /// Finds connections that have fallen silent. Called several times a second.
    virtual void checkTimeouts(TimePoint now) = 0;

    /// Throws `Error` of kind InvalidMessage when the text is not a configuration.
    virtual std::shared_ptr<const ServingConfiguration>
    decodeConfiguration(const std::string &text) const = 0;
};

} // namespace Lavenderpick
