#include "lavenderpick/Records/AttemptGate.h"

#include "lavenderpick/Records/CallProtocol.h"

#include <charconv>
#include <optional>

namespace Lavenderpick {

namespace {

// A message is sent right after its token is made. An older one was held up on its way.
constexpr std::int64_t maximumTokenAge = 60;

// How long a token without a time is remembered.
constexpr std::int64_t rememberSeconds = 600;

std::optional<std::int64_t> timeOf(const std::string &token)
{
    constexpr std::size_t prefixLength = 2;
    if (!token.starts_with("c-"))
        return std::nullopt;
    std::int64_t time = 0;
    const char *end = token.data() + token.size();
    const auto parsed = std::from_chars(token.data() + prefixLength, end, time);
    if (parsed.ec != std::errc() || parsed.ptr == end || *parsed.ptr != '-')
        return std::nullopt;
    return time;
}

} // namespace

std::string newCallToken(Random &random, std::int64_t wallSeconds)
{
    return newIdentifier(random, "c-" + std::to_string(wallSeconds));
}

AttemptGate::AttemptGate(std::int64_t startedAt)
    : m_startedAt(startedAt)
{ }

bool AttemptGate::admit(const std::string &token, std::int64_t wallSeconds)
{
    if (const auto time = timeOf(token)) {
        const bool madeBeforeStart = *time <= m_startedAt + maximumClockSkewSeconds;
        if (madeBeforeStart || *time < wallSeconds - maximumTokenAge)
            return false;
    }
    const std::lock_guard lock(m_mutex);
    forget(wallSeconds);
    if (!m_seen.insert(token).second)
        return false;
    m_order.push_back({ token, wallSeconds + rememberSeconds });
    return true;
}

void AttemptGate::forget(std::int64_t wallSeconds)
{
    while (!m_order.empty() && m_order.front().forgetAt < wallSeconds) {
        m_seen.erase(m_order.front().token);
        m_order.pop_front();
    }
}

} // namespace Lavenderpick
