#include "lavenderpick/Forward/EngineSpeeds.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

// A later timer shows that the gateway had no processor time, so its event times are wrong.
constexpr Duration maximumLateness { Milliseconds(20) };
constexpr std::size_t usedSamples = 3;
// After this time without a sample, an engine is tried again, step by step.
constexpr Duration sampleRetention { Seconds(5) };
constexpr Duration stepInterval { Seconds(1) };
constexpr double largestFall = 0.2;
// A factor this close to 1 is not kept.
constexpr double negligibleFactor = 1.05;

} // namespace

void EngineSpeeds::recordTimer(Duration interval, TimePoint now)
{
    if (m_timerAt && now - *m_timerAt > m_timerInterval + maximumLateness)
        m_lateUntil = now;
    m_timerAt = now;
    m_timerInterval = interval;
}

bool EngineSpeeds::wasLate(TimePoint since, TimePoint now) const
{
    // Events may be handled before the timer that shows the lateness.
    return since <= m_lateUntil
            || (m_timerAt && now - *m_timerAt > m_timerInterval + maximumLateness);
}

void EngineSpeeds::recordEvents(const UpstreamRecord &upstream, Stream &stream, std::size_t events,
                                double passMs, TimePoint now)
{
    const std::optional<TimePoint> since = stream.m_lastEventAt;
    // The load may have fallen during the pass.
    const double predictedMs = std::max(passMs, stream.m_lastPassMs);
    stream.m_lastEventAt = now;
    stream.m_lastPassMs = passMs;
    // Several events together were held up on the way, for example while reading was paused.
    if (!since || events != 1 || predictedMs <= 0 || wasLate(*since, now))
        return;
    stream.m_ratios[stream.m_gaps % stream.m_ratios.size()] =
            inMilliseconds(now - *since) / predictedMs;
    if (++stream.m_gaps < stream.m_ratios.size())
        return;
    Process &process = m_processes.try_emplace(upstream.id, Process { upstream.startedMs, 1, {} })
                               .first->second;
    if (upstream.startedMs < process.startedMs)
        return;
    if (upstream.startedMs > process.startedMs) {
        setFactor(process, 1);
        process.samples.clear();
        process.startedMs = upstream.startedMs;
    }
    addSample(process,
              { .stream = stream.m_number,
                .ratio = *std::min_element(stream.m_ratios.begin(), stream.m_ratios.end()),
                .at = now });
}

void EngineSpeeds::addSample(Process &process, const Sample &sample)
{
    std::erase_if(process.samples, [&sample](const Sample &other) {
        return sample.at - other.at > sampleRetention;
    });
    process.samples.push_back(sample);
    if (process.samples.size() > usedSamples)
        process.samples.pop_front();
    process.approachAt = sample.at + sampleRetention;
    if (process.samples.size() < usedSamples)
        return;
    std::array<double, usedSamples> ratios {};
    std::transform(process.samples.begin(), process.samples.end(), ratios.begin(),
                   [](const Sample &each) { return each.ratio; });
    std::sort(ratios.begin(), ratios.end());
    const double median = std::max(1.0, ratios[usedSamples / 2]);
    const bool hasSeveralStreams =
            std::any_of(process.samples.begin(), process.samples.end(),
                        [&sample](const Sample &other) { return other.stream != sample.stream; });
    // A fall needs only one stream: an engine that is avoided may have no other.
    const bool rises = median > process.factor && hasSeveralStreams;
    const bool falls = median < process.factor && sample.at - process.changedAt >= stepInterval;
    if (!rises && !falls)
        return;
    process.changedAt = sample.at;
    setFactor(process, std::max(median, process.factor * (1 - largestFall)));
}

void EngineSpeeds::setFactor(Process &process, double factor)
{
    if (process.factor >= slowFactor)
        --m_slowCount;
    process.factor = factor;
    if (process.factor >= slowFactor)
        ++m_slowCount;
}

void EngineSpeeds::forget(const std::string &upstream)
{
    const auto found = m_processes.find(upstream);
    if (found == m_processes.end())
        return;
    setFactor(found->second, 1);
    found->second.samples.clear();
}

std::vector<EngineSpeedChange> EngineSpeeds::update(TimePoint now)
{
    std::vector<EngineSpeedChange> changes;
    for (auto entry = m_processes.begin(); entry != m_processes.end();) {
        auto &[id, process] = *entry;
        bool isOutdated = process.samples.empty();
        for (; process.approachAt <= now && process.factor > 1;
             process.approachAt += stepInterval) {
            const double halved = 1 + (process.factor - 1) / 2;
            setFactor(process, halved < negligibleFactor ? 1 : halved);
        }
        isOutdated = isOutdated || process.approachAt <= now;
        const bool isSlow = process.factor >= slowFactor;
        if (isSlow != process.reportedSlow)
            changes.push_back({ .upstream = id, .factor = isSlow ? process.factor : 1 });
        process.reportedSlow = isSlow;
        entry = isOutdated && process.factor <= 1 ? m_processes.erase(entry) : std::next(entry);
    }
    return changes;
}

double EngineSpeeds::knownFactor(const UpstreamRecord &upstream) const
{
    const auto found = m_processes.find(upstream.id);
    if (found == m_processes.end() || found->second.startedMs != upstream.startedMs
        || found->second.factor < slowFactor)
        return 1;
    return found->second.factor;
}

} // namespace Lavenderpick
