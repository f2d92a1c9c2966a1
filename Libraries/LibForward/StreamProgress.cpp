#include "lavenderpick/Forward/StreamProgress.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

// More than an engine starts while a request may wait to be overtaken.
constexpr std::size_t rememberedFirstEvents = 32;
constexpr std::size_t rememberedPasses = 16;

} // namespace

void StreamProgress::sent(const std::string &upstream, std::uint64_t stream, bool isWhole,
                          TimePoint now)
{
    m_engines[upstream].open[stream] = { .isWhole = isWhole, .sentAt = now };
}

void StreamProgress::eventArrived(const std::string &upstream, std::uint64_t stream, TimePoint now)
{
    const auto engine = m_engines.find(upstream);
    if (engine == m_engines.end())
        return;
    const auto found = engine->second.open.find(stream);
    if (found == engine->second.open.end())
        return;
    Stream &open = found->second;
    if (open.lastEventAt == TimePoint {} && open.isWhole) {
        engine->second.firstEvents.push_back({ .sentAt = open.sentAt, .at = now });
        if (engine->second.firstEvents.size() > rememberedFirstEvents)
            engine->second.firstEvents.pop_front();
    }
    open.lastEventAt = now;
    std::deque<TimePoint> &passes = engine->second.passes;
    if (!passes.empty() && now - passes.back() < samePass)
        return;
    passes.push_back(now);
    if (passes.size() > rememberedPasses)
        passes.pop_front();
}

void StreamProgress::ended(const std::string &upstream, std::uint64_t stream)
{
    const auto engine = m_engines.find(upstream);
    if (engine == m_engines.end())
        return;
    engine->second.open.erase(stream);
    if (engine->second.open.empty())
        m_engines.erase(engine);
}

bool StreamProgress::isOvertaken(const Engine &engine, const Stream &stream, TimePoint now)
{
    return stream.isWhole
            && std::any_of(engine.firstEvents.begin(), engine.firstEvents.end(),
                           [&](const FirstEvent &other) {
                               return other.sentAt >= stream.sentAt + sameTime
                                       && now - other.at >= overtakenFor;
                           });
}

bool StreamProgress::isLost(const std::string &upstream, std::uint64_t stream, TimePoint now) const
{
    const auto engine = m_engines.find(upstream);
    if (engine == m_engines.end())
        return false;
    const auto found = engine->second.open.find(stream);
    if (found == engine->second.open.end())
        return false;
    if (found->second.lastEventAt == TimePoint {})
        return isOvertaken(engine->second, found->second, now);
    if (now - found->second.lastEventAt < leastSilence)
        return false;
    const auto later = std::count_if(
            engine->second.passes.begin(), engine->second.passes.end(),
            [&](TimePoint pass) { return pass >= found->second.lastEventAt + samePass; });
    return later >= missedPasses;
}

} // namespace Lavenderpick
