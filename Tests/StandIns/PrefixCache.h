#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <nlohmann/json.hpp>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Lavenderpick::StandIns {

/// Cached prefixes in blocks, evicted by least recent use, with delayed and lossy events.
class PrefixCache
{
public:
    static constexpr std::int64_t blockTokens = 64;

    PrefixCache(int eventDelayMilliseconds, int eventGap)
        : m_eventDelay(eventDelayMilliseconds)
        , m_eventGap(eventGap)
    { }

    /// Digests of the whole blocks of a prompt; each covers everything before it too.
    static std::vector<std::uint64_t> blocksOf(std::string_view prompt);

    std::int64_t cachedTokens(const std::vector<std::uint64_t> &blocks);
    void insert(const std::vector<std::uint64_t> &blocks);
    void shrinkTo(std::int64_t tokens);

    /// `{events: [{sequence, kind, block, tokens}], last}` after sequence number `after`.
    nlohmann::json events(std::int64_t after) const;

private:
    struct Event
    {
        std::int64_t sequence;
        bool stored;
        std::uint64_t block;
        std::chrono::steady_clock::time_point visibleAt;
    };

    void record(bool stored, std::uint64_t block);

    std::chrono::milliseconds m_eventDelay;
    int m_eventGap;
    std::list<std::uint64_t> m_recent; ///< Least recently used last.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::list<Event> m_events;
    std::int64_t m_sequence { 0 };
};

} // namespace Lavenderpick::StandIns
