#include "lavenderpick/Forward/PromptQuarantine.h"

#include <algorithm>
#include <utility>

namespace Lavenderpick {

namespace {

constexpr std::size_t maximumEntries = 64;
// One datagram holds about 64 KiB; with its longest list of parts a broken attempt takes 0.5 KiB.
constexpr std::size_t maximumBrokenPerReport = 64;
constexpr std::size_t maximumSoundPerReport = 128;
// Each lasts 1.5 s; beyond these, completions at a higher rate add nothing to the evidence.
constexpr std::size_t maximumUnconfirmed = 1'024;
constexpr Duration answerInterval { Milliseconds(500) };
// Peers that decided at slightly different times don't extend each other's quarantine.
constexpr Duration minimumExtension { Seconds(5) };
constexpr Duration minimumAdoptedHold { Seconds(1) };

Duration holdDuration(int timesHeld)
{
    constexpr int maximumDoublings = 10;
    const Duration duration =
            PromptQuarantine::firstHold * (1 << std::min(timesHeld - 1, maximumDoublings));
    return std::min<Duration>(duration, PromptQuarantine::maximumHold);
}

std::vector<std::string> sorted(std::vector<std::string> parts)
{
    std::sort(parts.begin(), parts.end());
    return parts;
}

template <typename Item>
void appendBounded(std::vector<Item> &items, const Item &item, std::size_t maximum)
{
    if (items.size() >= maximum)
        items.erase(items.begin());
    items.push_back(item);
}

} // namespace

std::optional<Duration> PromptQuarantine::holdTime(const std::vector<std::string> &promptParts,
                                                   TimePoint now) const
{
    if (m_entries.empty() || promptParts.empty())
        return std::nullopt;
    const std::vector<std::string> prompt = sorted(promptParts);
    std::optional<Duration> longest;
    for (const Entry &entry : m_entries) {
        if (entry.isHeld(now) && containsParts(prompt, entry.suspicion.parts))
            longest = std::max(longest.value_or(Duration {}), entry.until - now);
    }
    return longest;
}

void PromptQuarantine::recordBroken(BrokenAttempt attempt, TimePoint now)
{
    if (attempt.promptParts.empty())
        return;
    limitParts(attempt.promptParts);
    appendBounded(m_news.broken, attempt, maximumBrokenPerReport);
    addEvidence(attempt, Origin::Own, now);
}

void PromptQuarantine::limitParts(std::vector<std::string> &parts) const
{
    if (parts.size() <= CrashEvidence::maximumParts)
        return;
    // The harmful part is never completed, while those that all prompts begin with are.
    std::stable_partition(parts.begin(), parts.end(),
                          [this](const std::string &part) { return !m_evidence.soundSince(part); });
    parts.resize(CrashEvidence::maximumParts);
}

void PromptQuarantine::recordCompletedAtClose(const std::string &upstream,
                                              const std::vector<std::string> &promptParts,
                                              TimePoint sentAt, TimePoint now)
{
    if (promptParts.empty())
        return;
    if (m_unconfirmed.size() >= maximumUnconfirmed)
        m_unconfirmed.pop_front();
    m_unconfirmed.push_back(
            { .upstream = upstream, .promptParts = promptParts, .sentAt = sentAt, .endedAt = now });
}

void PromptQuarantine::confirmCompletions(TimePoint now)
{
    while (!m_unconfirmed.empty()
           && m_unconfirmed.front().endedAt + CrashEvidence::crashSpan <= now) {
        const UnconfirmedCompletion completion = std::move(m_unconfirmed.front());
        m_unconfirmed.pop_front();
        if (!m_evidence.hasCrashedSince(completion.upstream,
                                        completion.endedAt - CrashEvidence::crashSpan))
            recordCompleted(completion.promptParts, completion.sentAt, now);
    }
}

void PromptQuarantine::recordCompleted(const std::vector<std::string> &promptParts,
                                       TimePoint sentAt, TimePoint now)
{
    m_evidence.recordCompleted(promptParts, sentAt, now);
    for (const std::string &part : promptParts) {
        const bool isHeld =
                std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
                    return containsParts(entry.suspicion.parts, { part });
                });
        if (!isHeld)
            continue;
        reportSound(part, sentAt, now);
        release(part, sentAt);
    }
}

void PromptQuarantine::apply(const QuarantineNews &news, Origin origin, TimePoint now)
{
    for (const QuarantineNews::Sound &sound : news.sound) {
        const TimePoint sentAt = now - sound.sentAgo;
        m_answeredAt[sound.part] = now;
        if (origin == Origin::Group)
            appendBounded(m_groupNews.sound, sound, maximumSoundPerReport);
        m_evidence.recordSound(sound.part, sentAt);
        release(sound.part, sentAt);
    }
    for (const BrokenAttempt &attempt : news.broken) {
        addEvidence(attempt, origin, now);
        answer(attempt.promptParts, now);
    }
    for (const QuarantineNews::Held &held : news.held)
        adopt(held, now);
}

void PromptQuarantine::addEvidence(const BrokenAttempt &attempt, Origin origin, TimePoint now)
{
    if (attempt.promptParts.empty())
        return;
    if (origin != Origin::Other)
        appendBounded(m_groupNews.broken, attempt, maximumBrokenPerReport);
    m_evidence.recordBroken(attempt, now);
    renewOrExplain(sorted(attempt.promptParts), now);
}

void PromptQuarantine::renewOrExplain(const std::vector<std::string> &prompt, TimePoint now)
{
    for (Entry &entry : m_entries) {
        if (!containsParts(prompt, entry.suspicion.parts))
            continue;
        m_evidence.explain(entry.suspicion.parts);
        if (entry.isHeld(now))
            continue;
        ++entry.timesHeld;
        entry.until = now + holdDuration(entry.timesHeld);
        entry.suspicion.firstCrash = now;
        notify(entry.suspicion, true);
    }
}

void PromptQuarantine::decide(TimePoint now)
{
    while (m_entries.size() < maximumEntries) {
        const std::optional<SuspectedParts> suspicion = m_evidence.suspect(now);
        if (!suspicion)
            return;
        hold({ .suspicion = *suspicion, .until = now + holdDuration(1) });
    }
}

void PromptQuarantine::hold(Entry entry)
{
    m_evidence.explain(entry.suspicion.parts);
    notify(entry.suspicion, true);
    // Rejecting prompts with fewer of the parts includes those with more of them.
    std::erase_if(m_entries, [&](const Entry &other) {
        return containsParts(other.suspicion.parts, entry.suspicion.parts);
    });
    m_entries.push_back(std::move(entry));
}

void PromptQuarantine::adopt(const QuarantineNews::Held &held, TimePoint now)
{
    if (held.parts.empty() || held.left < minimumAdoptedHold)
        return;
    const TimePoint firstCrash = now - held.firstCrashAgo;
    bool isRefuted = false;
    for (const std::string &part : held.parts) {
        const std::optional<TimePoint> soundSince = m_evidence.soundSince(part);
        if (!soundSince || *soundSince < firstCrash)
            continue;
        isRefuted = true;
        answer({ part }, now);
    }
    if (isRefuted)
        return;
    for (Entry &entry : m_entries) {
        if (!containsParts(held.parts, entry.suspicion.parts))
            continue;
        if (now + held.left > entry.until + minimumExtension) {
            entry.until = now + held.left;
            entry.timesHeld = std::max(entry.timesHeld, held.timesHeld);
            entry.suspicion.firstCrash = firstCrash;
        }
        return;
    }
    if (m_entries.size() < maximumEntries) {
        hold({ .suspicion = { .parts = sorted(held.parts), .firstCrash = firstCrash },
               .until = now + held.left,
               .timesHeld = held.timesHeld });
    }
}

void PromptQuarantine::release(const std::string &part, TimePoint sentAt)
{
    std::erase_if(m_entries, [&](Entry &entry) {
        if (!containsParts(entry.suspicion.parts, { part }) || sentAt < entry.suspicion.firstCrash)
            return false;
        std::erase(entry.suspicion.parts, part);
        if (!entry.suspicion.parts.empty())
            return false;
        entry.suspicion.parts = { part };
        notify(entry.suspicion, false);
        return true;
    });
}

void PromptQuarantine::answer(const std::vector<std::string> &parts, TimePoint now)
{
    for (const std::string &part : parts) {
        const std::optional<TimePoint> soundSince = m_evidence.soundSince(part);
        const auto answered = m_answeredAt.find(part);
        const bool isAnswered =
                answered != m_answeredAt.end() && now - answered->second < answerInterval;
        if (soundSince && !isAnswered)
            reportSound(part, *soundSince, now);
    }
}

void PromptQuarantine::reportSound(const std::string &part, TimePoint sentAt, TimePoint now)
{
    m_answeredAt[part] = now;
    const QuarantineNews::Sound sound { .part = part, .sentAgo = now - sentAt };
    appendBounded(m_news.sound, sound, maximumSoundPerReport);
    appendBounded(m_groupNews.sound, sound, maximumSoundPerReport);
}

QuarantineNews PromptQuarantine::takeNews()
{
    return std::exchange(m_news, {});
}

QuarantineNews PromptQuarantine::takeGroupNews(TimePoint now)
{
    QuarantineNews news = std::exchange(m_groupNews, {});
    news.held = held(now);
    return news;
}

std::vector<QuarantineNews::Held> PromptQuarantine::held(TimePoint now) const
{
    std::vector<QuarantineNews::Held> result;
    for (const Entry &entry : m_entries) {
        if (entry.isHeld(now)) {
            result.push_back({ .parts = entry.suspicion.parts,
                               .left = entry.until - now,
                               .firstCrashAgo = now - entry.suspicion.firstCrash,
                               .timesHeld = entry.timesHeld });
        }
    }
    return result;
}

void PromptQuarantine::update(TimePoint now)
{
    m_evidence.expire(now);
    confirmCompletions(now);
    decide(now);
    std::erase_if(m_entries, [now](const Entry &entry) { return entry.until + probation <= now; });
    std::erase_if(m_answeredAt,
                  [now](const auto &entry) { return entry.second + answerInterval <= now; });
}

void PromptQuarantine::notify(const SuspectedParts &suspicion, bool held) const
{
    if (m_changeHandler)
        m_changeHandler(suspicion, held);
}

} // namespace Lavenderpick
