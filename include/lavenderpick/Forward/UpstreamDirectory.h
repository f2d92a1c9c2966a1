#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Forward/StoreAvailability.h"
#include "lavenderpick/Forward/UpstreamNotices.h"
#include "lavenderpick/Forward/ZoneEvacuations.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderpick {

enum class UpstreamState {
    Ready,
    Leaving, ///< Finishes its open requests and must get no new ones.
};

/// Longer times for which an upstream says that it is cold are cut to this.
constexpr Duration longestColdLeft { Seconds(3'600) };

/// Why an upstream may get no new requests. If several reasons apply, the first one here is given.
enum class UpstreamExclusion {
    None,
    NotListed,
    Evacuated, ///< The operator has evacuated its availability zone.
    Leaving,
    Misdirected, ///< Another process answered at its address.
    Paused,
};

std::string_view toString(UpstreamExclusion exclusion);

/// An upstream's registration.
struct UpstreamRecord
{
    std::string id; ///< Usually changes when the upstream restarts.
    std::string service;
    std::string address; ///< `host:port`
    std::string availabilityZone;
    int capacity { 1 }; ///< Concurrent requests.
    UpstreamState state { UpstreamState::Ready };
    std::int64_t startedMs { 0 }; ///< Unix time in milliseconds; differs for another process.
    Duration coldLeft {};         ///< How long it was still cold when the record was read.

    bool operator==(const UpstreamRecord &) const = default;

    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage.
    static UpstreamRecord parse(const nlohmann::json &json);
};

/// The upstreams that the platform lists. Not safe for concurrent use.
///
/// Entries expire while the store is unavailable, although their upstreams are alive. Removals that
/// may be such expiries (`StoreAvailability`) are therefore delayed until the grace period after
/// the outage ends.
class UpstreamDirectory
{
public:
    /// Bounds the loss if the response was wrong. Each attempt after it costs a caller one retry.
    static constexpr Duration misdirectionTimeout { Seconds(5) };

    /// Upstreams that are alive write their entries again within two seconds of the store's return.
    static constexpr Duration returnTimeout { Milliseconds(2'500) };

    /// How long a removed process is remembered, longer than copies of the store are old.
    static constexpr Duration removalMemory { Seconds(60) };

    /// How long delayed removals wait for news of registrations at the end of the grace period.
    static constexpr Duration newsTimeout { Milliseconds(500) };

    /// Adds or replaces one upstream. A change of `coldLeft` alone leaves the generation as it is:
    /// upstreams that are cold report another one each time.
    void put(const UpstreamRecord &record);

    /// Removes an upstream, at once or when the grace period ends. Leaving upstreams are removed
    /// at once. Returns whether the removal is delayed.
    bool remove(const std::string &id, TimePoint now);

    /// Applies a complete listing; upstreams missing from it are removed as by `remove`.
    void replaceAll(const std::vector<UpstreamRecord> &records, TimePoint now);

    /// The store came back from an older copy, which the next listing shows. That listing returns
    /// no process that was leaving or removed, until its entry is written again, and an upstream
    /// that is missing from it has `returnTimeout` to register again.
    void recordStoreReturn() { m_listsOlderCopy = true; }

    /// Another process answered at the upstream's address: the record is out of date. The upstream
    /// is not ready until the record changes, or for `misdirectionTimeout`.
    void recordMisdirection(const std::string &id, TimePoint now);

    /// A call of this gateway to the store failed.
    void recordStoreFailure() { m_store.recordFailure(); }

    /// The store responded to this gateway or to a peer.
    void recordStoreResponse(TimePoint at) { m_store.recordResponse(at); }

    /// Call at least every 100 ms, so that a pause of this process is not taken for an outage.
    void recordCheck(TimePoint now) { m_store.recordCheck(now); }

    /// A response of the upstream's process that started at `startedMs` said that it leaves, or
    /// that it wants no requests for `pause`; see `UpstreamNotices`. Returns whether that is new.
    bool recordLeaving(const std::string &id, std::int64_t startedMs, TimePoint now);
    bool recordPause(const std::string &id, std::int64_t startedMs, Duration pause, TimePoint now);

    /// Upstreams in evacuated zones are not ready.
    ZoneEvacuations::Result applyEvacuations(const EvacuationUpdate &update);

    const ZoneEvacuations &evacuations() const { return m_evacuations; }

    struct Expired
    {
        std::vector<std::string> removed;
        std::vector<std::string> returned; ///< Their pauses have ended.
    };

    /// Carries out delayed removals once the grace period has ended, and ends misdirections and
    /// pauses. `completeUpTo`: changes made up to then were applied.
    Expired expire(TimePoint now, TimePoint completeUpTo);

    /// Null when the id is not listed.
    const UpstreamRecord *find(const std::string &id) const;

    /// Whether the upstream may get new requests.
    bool isReady(const std::string &id) const { return exclusion(id) == UpstreamExclusion::None; }

    /// Why the upstream may get no new requests.
    UpstreamExclusion exclusion(const std::string &id) const;

    /// When the first of the service's upstreams that are only paused may be asked again; empty if
    /// there is none.
    std::optional<TimePoint> earliestReturn(const std::string &service) const;

    /// The only listed upstream at the address besides `id`; empty if there is none or several.
    std::optional<UpstreamRecord> otherAtAddress(const std::string &address,
                                                 const std::string &id) const;

    /// The upstreams of the service that may get new requests, by id. Valid until the next change.
    const std::vector<const UpstreamRecord *> &ready(const std::string &service) const;

    /// All listed upstreams, also those whose removal is delayed.
    std::vector<UpstreamRecord> records() const;

    std::size_t size() const { return m_entries.size(); }

    /// Number of listed upstreams in the availability zone.
    std::size_t sizeOfZone(const std::string &zone) const;

    /// Increases with each change.
    std::uint64_t generation() const { return m_generation; }

private:
    struct Entry
    {
        UpstreamRecord record;
        bool removalPending { false }; ///< Removed when the grace period ends.
        TimePoint removalNotBefore {}; ///< Of a pending removal.
        std::optional<TimePoint> misdirectedUntil {};
    };

    /// A process whose entry was removed.
    struct Removal
    {
        std::int64_t startedMs { 0 };
        TimePoint at {};
    };

    /// What a listing from an older copy says of the upstream, without what is known to be later;
    /// empty if its process was removed.
    std::optional<UpstreamRecord> withoutReturn(const UpstreamRecord &record, TimePoint now) const;
    void erase(const std::string &id, TimePoint now);
    UpstreamExclusion exclusionOf(const Entry &entry) const;
    bool graceHasEnded(TimePoint now, TimePoint completeUpTo) const;
    void recordChange();
    void endMisdirections(TimePoint now);

    std::map<std::string, Entry> m_entries;
    std::map<std::string, Removal> m_removals;
    bool m_listsOlderCopy { false }; ///< The next listing.
    mutable std::map<std::string, std::vector<const UpstreamRecord *>> m_ready;
    StoreAvailability m_store;
    UpstreamNotices m_notices;
    ZoneEvacuations m_evacuations;
    std::uint64_t m_generation { 0 };
};

} // namespace Lavenderpick
