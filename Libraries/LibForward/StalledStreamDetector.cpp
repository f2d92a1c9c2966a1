#include "lavenderpick/Forward/StalledStreamDetector.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

// More first events than an engine sends while an earlier request may wait to count as overtaken.
constexpr std::size_t maximumFirstEvents = 32;
constexpr std::size_t maximumPasses = 16;

} // namespace

void StalledStreamDetector::recordSent(const std::string &upstream, std::uint64_t streamId,
                                       bool prefillsWholePrompt, TimePoint now)
{
    m_engines[upstream].openStreams[streamId] = { .prefillsWholePrompt = prefillsWholePrompt,
                                                  .sentAt = now };
}

void StalledStreamDetector::recordEvent(const std::string &upstream, std::uint64_t streamId,
                                        TimePoint now)
{
    const auto engine = m_engines.find(upstream);
    if (engine == m_engines.end())
        return;
    const auto found = engine->second.openStreams.find(streamId);
    if (found == engine->second.openStreams.end())
        return;
    Stream &stream = found->second;
    if (stream.lastEventAt == TimePoint {} && stream.prefillsWholePrompt) {
        engine->second.firstEvents.push_back({ .sentAt = stream.sentAt, .arrivedAt = now });
        if (engine->second.firstEvents.size() > maximumFirstEvents)
            engine->second.firstEvents.pop_front();
    }
    stream.lastEventAt = now;
    std::deque<TimePoint> &passes = engine->second.passes;
    if (!passes.empty() && now - passes.back() < samePassWindow)
        return;
    passes.push_back(now);
    if (passes.size() > maximumPasses)
        passes.pop_front();
}

void StalledStreamDetector::recordEnd(const std::string &upstream, std::uint64_t streamId)
{
    const auto engine = m_engines.find(upstream);
    if (engine == m_engines.end())
        return;
    engine->second.openStreams.erase(streamId);
    if (engine->second.openStreams.empty())
        m_engines.erase(engine);
}

bool StalledStreamDetector::isOvertaken(const Engine &engine, const Stream &stream, TimePoint now)
{
    return stream.prefillsWholePrompt
            && std::any_of(engine.firstEvents.begin(), engine.firstEvents.end(),
                           [&](const FirstEvent &other) {
                               return other.sentAt >= stream.sentAt + sendOrderTolerance
                                       && now - other.arrivedAt >= overtakenTimeout;
                           });
}

bool StalledStreamDetector::isStalled(const std::string &upstream, std::uint64_t streamId,
                                      TimePoint now) const
{
    const auto engine = m_engines.find(upstream);
    if (engine == m_engines.end())
        return false;
    const auto found = engine->second.openStreams.find(streamId);
    if (found == engine->second.openStreams.end())
        return false;
    if (found->second.lastEventAt == TimePoint {})
        return isOvertaken(engine->second, found->second, now);
    if (now - found->second.lastEventAt < minimumSilence)
        return false;
    const auto later = std::count_if(
            engine->second.passes.begin(), engine->second.passes.end(),
            [&](TimePoint pass) { return pass >= found->second.lastEventAt + samePassWindow; });
    return later >= missedPassThreshold;
}

} // namespace Lavenderpick
