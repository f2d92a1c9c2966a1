#include "lavenderpick/Forward/CrashEvidence.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Lavenderpick {

namespace {

constexpr std::size_t maximumCrashes = 128;
constexpr std::size_t maximumPromptsPerCrash = 64;
constexpr std::size_t maximumSoundParts = 4'096;
constexpr std::size_t maximumCompletions = 1'024;
// Without this many completions the whole service fails, and no part is to blame for that.
constexpr std::size_t minimumCompletions = 3;
// The share of the crashes since its first one that a harmful part has to explain.
constexpr double minimumExplainedShare = 0.5;

} // namespace

bool containsParts(const std::vector<std::string> &prompt, const std::vector<std::string> &parts)
{
    return std::includes(prompt.begin(), prompt.end(), parts.begin(), parts.end());
}

void CrashEvidence::recordBroken(const BrokenAttempt &attempt, TimePoint now)
{
    if (attempt.promptParts.empty())
        return;
    std::vector<std::string> prompt = attempt.promptParts;
    std::sort(prompt.begin(), prompt.end());
    prompt.erase(std::unique(prompt.begin(), prompt.end()), prompt.end());
    const auto same = std::find_if(m_crashes.rbegin(), m_crashes.rend(), [&](const Crash &crash) {
        return crash.upstream == attempt.upstream && now - crash.at < crashSpan;
    });
    if (same != m_crashes.rend()) {
        if (same->prompts.size() < maximumPromptsPerCrash)
            same->prompts.push_back(std::move(prompt));
        return;
    }
    m_crashes.push_back(
            { .upstream = attempt.upstream, .at = now, .prompts = { std::move(prompt) } });
    if (m_crashes.size() > maximumCrashes)
        m_crashes.pop_front();
}

void CrashEvidence::recordCompleted(const std::vector<std::string> &parts, TimePoint sentAt,
                                    TimePoint now)
{
    if (parts.empty())
        return;
    m_completions.push_back(now);
    if (m_completions.size() > maximumCompletions)
        m_completions.pop_front();
    for (const std::string &part : parts)
        recordSound(part, sentAt);
}

void CrashEvidence::recordSound(const std::string &part, TimePoint sentAt)
{
    const auto known = m_sound.find(part);
    if (known != m_sound.end())
        known->second = std::max(known->second, sentAt);
    else if (m_sound.size() < maximumSoundParts)
        m_sound.emplace(part, sentAt);
}

bool CrashEvidence::hasCrashedSince(const std::string &upstream, TimePoint time) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const Crash &crash) {
        return crash.upstream == upstream && crash.at >= time;
    });
}

std::optional<TimePoint> CrashEvidence::soundSince(const std::string &part) const
{
    const auto known = m_sound.find(part);
    return known == m_sound.end() ? std::nullopt : std::optional<TimePoint>(known->second);
}

bool CrashEvidence::counts(const std::string &part, const Crash &crash) const
{
    const auto known = m_sound.find(part);
    return !crash.explained && (known == m_sound.end() || known->second < crash.at);
}

CrashEvidence::Scores CrashEvidence::scores(TimePoint now) const
{
    Scores scores;
    for (const Crash &crash : m_crashes) {
        if (now - crash.at < settlingTime)
            break;
        for (const std::vector<std::string> &prompt : crash.prompts) {
            for (const std::string &part : prompt) {
                if (!counts(part, crash))
                    continue;
                Score &score = scores[part];
                ++score.prompts;
                if (score.lastCrash == &crash)
                    continue;
                score.lastCrash = &crash;
                if (score.crashes++ == 0)
                    score.first = crash.at;
                if (score.moments == 0 || crash.at - score.lastMoment >= momentSpan) {
                    ++score.moments;
                    score.lastMoment = crash.at;
                }
            }
        }
    }
    return scores;
}

bool CrashEvidence::isConvincing(const std::string &part, const Score &score, TimePoint now) const
{
    const auto sound = m_sound.find(part);
    const bool wasSound = sound != m_sound.end();
    if (score.moments < (wasSound ? minimumMomentsIfSound : minimumMoments))
        return false;
    if (wasSound && now - sound->second < soundTime)
        return false;
    if (completionsSince(now - memory) < minimumCompletions)
        return false;
    return static_cast<double>(score.crashes) >= minimumExplainedShare
            * static_cast<double>(crashesBetween(score.first, now - settlingTime));
}

std::optional<SuspectedParts> CrashEvidence::suspect(TimePoint now) const
{
    const auto count = [](const Score &score) { return std::pair(score.moments, score.crashes); };
    const Scores all = scores(now);
    const auto mostCrashes =
            std::max_element(all.begin(), all.end(), [&](const auto &left, const auto &right) {
                return count(left.second) < count(right.second);
            });
    // Parts that were completed before need more crashes, so they don't make a new one ambiguous.
    std::vector<Scores::const_iterator> suspects;
    for (auto entry = all.begin(); entry != all.end(); ++entry) {
        if (count(entry->second) == count(mostCrashes->second)
            && isConvincing(entry->first, entry->second, now))
            suspects.push_back(entry);
    }
    // A sound part that all harmful prompts contain was open in other prompts too.
    const auto worst =
            std::min_element(suspects.begin(), suspects.end(), [](auto left, auto right) {
                return left->second.prompts < right->second.prompts;
            });
    if (worst == suspects.end())
        return std::nullopt;
    const auto &[part, score] = **worst;
    const std::vector<std::string> together = alwaysTogetherWith(part);
    const bool isAmbiguous = std::any_of(suspects.begin(), suspects.end(), [&](auto other) {
        return !std::binary_search(together.begin(), together.end(), other->first);
    });
    if (isAmbiguous)
        return std::nullopt;
    return SuspectedParts { .parts = withoutSoundParts(together, part),
                            .firstCrash = score.first,
                            .moments = score.moments,
                            .crashes = score.crashes };
}

std::vector<std::string> CrashEvidence::alwaysTogetherWith(const std::string &part) const
{
    std::optional<std::vector<std::string>> common;
    for (const Crash &crash : m_crashes) {
        if (!counts(part, crash))
            continue;
        for (const std::vector<std::string> &prompt : crash.prompts) {
            if (!std::binary_search(prompt.begin(), prompt.end(), part))
                continue;
            if (!common) {
                common = prompt;
                continue;
            }
            std::vector<std::string> both;
            std::set_intersection(common->begin(), common->end(), prompt.begin(), prompt.end(),
                                  std::back_inserter(both));
            common = std::move(both);
        }
    }
    return common.value_or(std::vector<std::string> {});
}

std::vector<std::string> CrashEvidence::withoutSoundParts(std::vector<std::string> parts,
                                                          const std::string &suspect) const
{
    std::erase_if(parts, [&](const std::string &part) {
        return part != suspect && m_sound.contains(part);
    });
    return parts;
}

void CrashEvidence::explain(const std::vector<std::string> &parts)
{
    for (Crash &crash : m_crashes) {
        crash.explained = crash.explained
                || std::any_of(crash.prompts.begin(), crash.prompts.end(),
                               [&](const auto &prompt) { return containsParts(prompt, parts); });
    }
}

void CrashEvidence::expire(TimePoint now)
{
    while (!m_crashes.empty() && m_crashes.front().at + memory <= now)
        m_crashes.pop_front();
    while (!m_completions.empty() && m_completions.front() + memory <= now)
        m_completions.pop_front();
    std::erase_if(m_sound, [now](const auto &entry) { return entry.second + memory <= now; });
}

std::size_t CrashEvidence::crashesBetween(TimePoint begin, TimePoint end) const
{
    return static_cast<std::size_t>(
            std::count_if(m_crashes.begin(), m_crashes.end(), [=](const Crash &crash) {
                return !crash.explained && crash.at >= begin && crash.at <= end;
            }));
}

std::size_t CrashEvidence::completionsSince(TimePoint time) const
{
    return static_cast<std::size_t>(
            std::count_if(m_completions.begin(), m_completions.end(),
                          [time](TimePoint completion) { return completion >= time; }));
}

} // namespace Lavenderpick
