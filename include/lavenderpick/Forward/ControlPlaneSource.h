#pragma once

#include "lavenderpick/Forward/ServingConfiguration.h"
#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderpick {

/// A configuration as stored.
struct ConfigurationSnapshot
{
    std::int64_t revision { 0 }; ///< Increases with every change; orders snapshots of all gateways.
    std::string text;            ///< As stored, so that a peer can pass it on unchanged.

    bool operator==(const ConfigurationSnapshot &) const = default;
};

/// One change to the listed upstreams.
struct UpstreamChange
{
    std::string id;
    std::optional<UpstreamRecord> record {}; ///< Empty if the upstream is no longer listed.

    bool operator==(const UpstreamChange &) const = default;
};

/// Receives the updates of a `ControlPlaneSource`.
class ControlPlaneObserver
{
public:
    virtual ~ControlPlaneObserver() = default;

    virtual void configurationRead(const ConfigurationSnapshot &snapshot) = 0;
    virtual void upstreamsListed(const std::vector<UpstreamRecord> &records) = 0;
    virtual void upstreamChanged(const UpstreamChange &change) = 0;

    /// Reports the addresses (`host:port`) of all registered gateways.
    virtual void membersListed(const std::vector<std::string> &addresses) = 0;

    virtual void storeLost(const std::string &reason) = 0;
    virtual void storeRegained() = 0;
};

/// Provides the configuration, the upstreams and the members (registered gateways) from the store.
class ControlPlaneSource
{
public:
    virtual ~ControlPlaneSource() = default;

    /// Starts watching the store; calls `observer` from the event loop. `memberAddress` is the
    /// address at which peers reach this gateway.
    virtual void start(ControlPlaneObserver &observer, const std::string &memberAddress) = 0;

    /// Detects connections that have gone silent. Called several times a second.
    virtual void checkTimeouts(TimePoint now) = 0;

    /// Throws `Error` of kind InvalidMessage if the text is not a configuration.
    virtual std::shared_ptr<const ServingConfiguration>
    decodeConfiguration(const std::string &text) const = 0;
};

} // namespace Lavenderpick
