#pragma once

#include "lavenderpick/Forward/ConfigurationDecoder.h"
#include "lavenderpick/Forward/FeedSchedule.h"
#include "lavenderpick/Forward/PeerDirectory.h"
#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// One change to the listed upstreams.
struct UpstreamChange
{
    std::string id;
    std::optional<UpstreamRecord> record {}; ///< Empty if the upstream is no longer listed.

    bool operator==(const UpstreamChange &) const = default;
};

/// Changes to the listed upstreams that directly follow each other, in the store's order.
struct UpstreamChangeSet
{
    struct Entry
    {
        std::int64_t revision { 0 };
        UpstreamChange change;

        bool operator==(const Entry &) const = default;
    };

    std::int64_t previousChange { 0 }; ///< Revision of the change before the first entry.
    std::vector<Entry> entries;        ///< Those of one transaction share its revision.

    /// The first index from `index` on at which the entries can be parted: not within a
    /// transaction.
    std::size_t endOfTransaction(std::size_t index) const;

    bool operator==(const UpstreamChangeSet &) const = default;
};

/// What a gateway read from the store, reported to its peers.
struct ControlPlaneReport
{
    FeedReport configuration;
    FeedReport upstreams;

    bool operator==(const ControlPlaneReport &) const = default;
};

/// Receives the updates of a `ControlPlaneSource`.
class ControlPlaneObserver
{
public:
    virtual ~ControlPlaneObserver() = default;

    virtual void configurationRead(ConfigurationSnapshot snapshot) = 0;
    virtual void upstreamsListed(const std::vector<UpstreamRecord> &records) = 0;
    virtual void upstreamChanged(const UpstreamChange &change) = 0;

    /// Reports changes that this gateway read from the store, after each was applied by
    /// `upstreamChanged`.
    virtual void upstreamChangesRead(const UpstreamChangeSet &changes) = 0;

    /// Reports evacuations of availability zones, and their ends.
    virtual void zonesEvacuated(const EvacuationUpdate &update) = 0;

    /// The store came back from an older copy. Called before what it holds now is reported.
    virtual void storeReturned(std::int64_t formerEra, std::int64_t era) = 0;

    /// Reports all registered gateways.
    virtual void gatewaysListed(const std::vector<GatewayRecord> &gateways) = 0;

    /// The first of several failed calls to the store.
    virtual void storeLost(const std::string &reason) = 0;
    virtual void storeRegained() = 0;

    /// A call of this gateway to the store failed. Follows `storeLost`.
    virtual void storeCallFailed() = 0;

    /// The store responded at `at` to this gateway or to a peer. Called before what the response
    /// holds is reported.
    virtual void storeResponded(TimePoint at) = 0;
};

/// Provides the configuration, the upstreams and the members (registered gateways) from the store.
class ControlPlaneSource : public ConfigurationDecoder
{
public:
    /// Starts watching the store; calls `observer` from the event loop. Registers `self`, by which
    /// peers find this gateway.
    virtual void start(ControlPlaneObserver &observer, const GatewayRecord &self) = 0;

    /// How this gateway's reads of the store serve its peers.
    virtual void setRole(FeedRole role) = 0;

    /// What this gateway last read from the store itself.
    virtual ControlPlaneReport report(TimePoint now) const = 0;

    /// When the store last responded to this gateway itself; empty if never.
    virtual std::optional<TimePoint> storeRespondedAt() const = 0;

    /// The store responded to a peer at this time.
    virtual void peerReachedStore(TimePoint at) = 0;

    /// Compares a peer's report with what is known here; reads the store if changes are missing.
    virtual void peerReported(const ControlPlaneReport &report, TimePoint now) = 0;

    /// Applies the changes that a peer read, if none before them is missing.
    virtual void peerReadChanges(const UpstreamChangeSet &changes, TimePoint now) = 0;

    /// Changes to the upstreams that were made up to this time were reported to the observer.
    virtual TimePoint upstreamsCompleteUpTo(TimePoint now) const = 0;

    /// Detects connections that have gone silent. Called several times a second.
    virtual void checkTimeouts(TimePoint now) = 0;
};

} // namespace Lavenderpick
