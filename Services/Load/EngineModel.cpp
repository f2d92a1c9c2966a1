#include "Services/Load/EngineModel.h"

#include <algorithm>

namespace Lavenderpick::Load {

void EngineModel::submit(const EngineSequence &sequence)
{
    if (sequence.kvTokenCount == 0) { // Its memory is reserved already.
        m_running.push_back(sequence);
        return;
    }
    // Waiting work stands in the order of service: short before long, then by arrival.
    const auto place = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto &other) {
        return m_settings.shortFirst && sequence.rank < other.rank;
    });
    m_waiting.insert(place, sequence);
}

bool EngineModel::reserve(std::int64_t tokens)
{
    if (m_kvTokensInUse + tokens > m_settings.kvTokenCount)
        return false;
    m_kvTokensInUse += tokens;
    return true;
}

std::vector<std::uint64_t> EngineModel::crash()
{
    std::vector<std::uint64_t> ids;
    for (const auto *sequences : { &m_waiting, &m_running }) {
        for (const EngineSequence &sequence : *sequences)
            ids.push_back(sequence.id);
    }
    m_waiting.clear();
    m_running.clear();
    m_prefixes.clear();
    m_kvTokensInUse = 0;
    return ids;
}

void EngineModel::admit()
{
    // A sequence that does not fit holds up those behind it, so that it gets memory at last.
    while (!m_waiting.empty() && reserve(m_waiting.front().kvTokenCount))
        m_running.splice(m_running.end(), m_waiting, m_waiting.begin());
}

double EngineModel::prefill(EngineSequence &sequence, std::int64_t budget, std::int64_t &used)
{
    const std::int64_t left = sequence.promptTokens - sequence.prefilled;
    const std::int64_t tokens = std::min(left, budget);
    const auto chunk = static_cast<double>(tokens);
    const double earlier = static_cast<double>(sequence.contextTokens + sequence.prefilled);
    sequence.prefilled += tokens;
    used += tokens;
    return m_settings.prefillPerToken * chunk
            + m_settings.attentionPerPair * chunk * (earlier + chunk / 2);
}

double EngineModel::prefillAll(std::int64_t budget, std::vector<EngineSequence *> &completed)
{
    std::vector<EngineSequence *> shorts;
    std::vector<EngineSequence *> longs;
    for (EngineSequence &sequence : m_running) {
        if (sequence.prefilled == sequence.promptTokens)
            continue;
        const bool first = sequence.rank == 0 || !m_settings.shortFirst;
        (first ? shorts : longs).push_back(&sequence);
    }
    if (m_settings.shortFirst)
        std::stable_sort(longs.begin(), longs.end(), [](const auto *left, const auto *right) {
            return left->rank < right->rank;
        });
    double seconds = 0;
    std::int64_t used = 0;
    const auto serve = [&](const std::vector<EngineSequence *> &sequences, std::int64_t limit) {
        for (EngineSequence *sequence : sequences) {
            if (used >= limit)
                break;
            seconds += prefill(*sequence, limit - used, used);
            if (sequence->prefilled == sequence->promptTokens)
                completed.push_back(sequence);
        }
    };
    const double kept = longs.empty() ? 0 : m_settings.longShare;
    serve(shorts, budget - static_cast<std::int64_t>(kept * static_cast<double>(budget)));
    serve(longs, budget);
    return seconds;
}

EngineStep EngineModel::step()
{
    admit();
    EngineStep result;
    result.seconds = m_settings.stepSeconds;
    std::int64_t budget = m_settings.tokenBudget;
    for (auto sequence = m_running.begin(); sequence != m_running.end();) {
        const bool decoding = sequence->prefilled == sequence->promptTokens;
        if (decoding && sequence->produced < sequence->outputTokens) {
            ++sequence->produced;
            ++result.decoded;
            --budget;
            result.seconds += m_settings.prefillPerToken;
        }
        if (!decoding || sequence->produced < sequence->outputTokens) {
            ++sequence;
            continue;
        }
        result.finished.push_back(sequence->id);
        m_kvTokensInUse -= sequence->kvTokenCount;
        sequence = m_running.erase(sequence);
    }
    std::vector<EngineSequence *> completed;
    result.seconds += prefillAll(std::max<std::int64_t>(1, budget), completed);
    for (EngineSequence *sequence : completed) {
        sequence->produced = std::min<std::int64_t>(1, sequence->outputTokens);
        result.firstTokens.push_back(sequence->id);
    }
    m_lastStep = result.seconds;
    return result;
}

std::int64_t EngineModel::backlog(bool shortOnly) const
{
    std::int64_t tokens = 0;
    for (const auto *sequences : { &m_waiting, &m_running }) {
        for (const EngineSequence &sequence : *sequences)
            tokens +=
                    shortOnly && sequence.rank > 0 ? 0 : sequence.promptTokens - sequence.prefilled;
    }
    return tokens;
}

std::int64_t EngineModel::usePrefix(int group, std::int64_t tokens)
{
    constexpr std::size_t maximumPrefixes = 8;
    if (tokens == 0)
        return 0;
    const auto found = std::find_if(m_prefixes.begin(), m_prefixes.end(),
                                    [group](const auto &held) { return held.first == group; });
    std::int64_t cached = 0;
    if (found != m_prefixes.end()) {
        cached = std::min(found->second, tokens);
        tokens = std::max(found->second, tokens);
        m_prefixes.erase(found);
    } else if (m_prefixes.size() >= maximumPrefixes) {
        m_prefixes.pop_front();
    }
    m_prefixes.emplace_back(group, tokens);
    return cached;
}

double EngineModel::idlePrefillSeconds(const EngineModelSettings &settings, std::int64_t tokens,
                                       std::int64_t context)
{
    const auto count = static_cast<double>(tokens);
    const auto earlier = static_cast<double>(context);
    const std::int64_t steps = (tokens + settings.tokenBudget - 1) / settings.tokenBudget;
    return settings.stepSeconds * static_cast<double>(steps) + settings.prefillPerToken * count
            + settings.attentionPerPair * count * (earlier + count / 2);
}

double EngineModel::workSeconds(const EngineModelSettings &settings, std::int64_t tokens)
{
    const auto count = static_cast<double>(tokens);
    return settings.stepSeconds * count / static_cast<double>(settings.tokenBudget)
            + settings.prefillPerToken * count + settings.attentionPerPair * count * count / 2;
}

} // namespace Lavenderpick::Load
