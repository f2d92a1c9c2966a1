#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

enum class UpstreamState {
    Ready,
    Leaving, ///< Finishes what it has and must get nothing new.
};

/// What an upstream says of itself.
struct UpstreamRecord
{
    std::string id; ///< New at most starts of the upstream.
    std::string service;
    std::string address; ///< `host:port`
    std::string availabilityZone;
    int capacity { 1 }; ///< Requests that it runs at once.
    UpstreamState state { UpstreamState::Ready };
    std::int64_t startedMs { 0 }; ///< Unix time of its start; another value is another process.

    bool operator==(const UpstreamRecord &) const = default;

    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage.
    static UpstreamRecord parse(const nlohmann::json &json);
};

/// The upstreams that the platform lists. Not safe for concurrent use.
///
/// Entries lapse while the store is away, although their upstreams live. A removal that is seen
/// until `recoveryGracePeriod` after the store's return is therefore held back for that long.
class UpstreamDirectory
{
public:
    /// The users' pages say that lapsed entries are back within about two seconds.
    static constexpr Duration recoveryGracePeriod { Milliseconds(2'000) };

    /// Sets or replaces one upstream.
    void put(const UpstreamRecord &record);

    /// Removes an upstream, at once or when the grace after the store's return ends.
    void remove(const std::string &id, TimePoint now);

    /// Replaces all by a complete listing; those that are missing are removed as by `remove`.
    void replaceAll(const std::vector<UpstreamRecord> &records, TimePoint now);

    void storeLost();
    void storeRegained(TimePoint now);

    /// Ends the grace of removals that are due; returns the ids that are gone.
    std::vector<std::string> expire(TimePoint now);

    /// Null when it is not listed.
    const UpstreamRecord *find(const std::string &id) const;

    /// Those of the service that may get new work, by id. Valid until the next change.
    const std::vector<const UpstreamRecord *> &ready(const std::string &service) const;

    /// All that are listed.
    std::vector<UpstreamRecord> records() const;

    std::size_t size() const { return m_entries.size(); }

    /// Rises with each change.
    std::uint64_t generation() const { return m_generation; }

private:
    struct Entry
    {
        UpstreamRecord record;
        bool removalPending { false }; ///< Its removal waits for the end of the grace.
    };

    void recordChange();

    std::map<std::string, Entry> m_entries;
    mutable std::map<std::string, std::vector<const UpstreamRecord *>> m_ready;
    bool m_storeUnavailable { false };
    TimePoint m_gracePeriodEnd {};
    std::uint64_t m_generation { 0 };
};

} // namespace Lavenderpick
