#include "PrefixCache.h"

#include "EngineOutput.h"

namespace Lavenderpick::StandIns {

namespace {

constexpr std::size_t maximumEvents = 20'000;

} // namespace

std::vector<std::uint64_t> PrefixCache::blocksOf(std::string_view prompt)
{
    constexpr std::size_t blockBytes = blockTokens * bytesPerToken;
    std::vector<std::uint64_t> blocks;
    std::uint64_t digest = emptyPromptDigest;
    for (std::size_t start = 0; start + blockBytes <= prompt.size(); start += blockBytes) {
        digest = extendPromptDigest(digest, prompt.substr(start, blockBytes));
        blocks.push_back(digest);
    }
    return blocks;
}

std::int64_t PrefixCache::cachedTokens(const std::vector<std::uint64_t> &blocks)
{
    std::int64_t tokens = 0;
    for (const std::uint64_t block : blocks) {
        if (!m_blocks.contains(block))
            break;
        tokens += blockTokens;
    }
    return tokens;
}

void PrefixCache::insert(const std::vector<std::uint64_t> &blocks)
{
    // Later blocks are pushed first, so that eviction removes them before their prefix.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        const auto known = m_blocks.find(*block);
        if (known != m_blocks.end()) {
            m_recent.splice(m_recent.begin(), m_recent, known->second);
            continue;
        }
        m_recent.push_front(*block);
        m_blocks[*block] = m_recent.begin();
        record(true, *block);
    }
}

void PrefixCache::shrinkTo(std::int64_t tokens)
{
    while (static_cast<std::int64_t>(m_blocks.size()) * blockTokens > tokens) {
        record(false, m_recent.back());
        m_blocks.erase(m_recent.back());
        m_recent.pop_back();
    }
}

nlohmann::json PrefixCache::events(std::int64_t after) const
{
    const auto now = std::chrono::steady_clock::now();
    nlohmann::json events = nlohmann::json::array();
    std::int64_t last = after;
    for (const Event &event : m_events) {
        if (event.visibleAt > now)
            break;
        if (event.sequence <= after)
            continue;
        last = event.sequence;
        if (m_eventGap > 0 && event.sequence % m_eventGap == 0)
            continue;
        events.push_back({ { "sequence", event.sequence },
                           { "kind", event.stored ? "stored" : "removed" },
                           { "block", event.block },
                           { "tokens", blockTokens } });
    }
    return { { "events", events }, { "last", last } };
}

void PrefixCache::record(bool stored, std::uint64_t block)
{
    m_events.push_back(
            { ++m_sequence, stored, block, std::chrono::steady_clock::now() + m_eventDelay });
    if (m_events.size() > maximumEvents)
        m_events.pop_front();
}

} // namespace Lavenderpick::StandIns
