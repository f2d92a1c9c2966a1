#include "Services/Entry/TokenEstimator.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

constexpr double initialBytesPerToken = 4;
constexpr double initialOutputTokens = 256;
constexpr double learningShare = 0.05;
// Tokenisers of all scripts lie within these bounds; a wrong report must not distort admission.
constexpr double fewestBytesPerToken = 1;
constexpr double mostBytesPerToken = 16;
// Short prompts say little, since special tokens weigh as much as their text.
constexpr std::int64_t fewestTokens = 100;

} // namespace

std::int64_t TokenEstimator::estimate(const std::string &model, std::size_t promptBytes) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_bytesPerToken.find(model);
    const double bytesPerToken =
            found == m_bytesPerToken.end() ? initialBytesPerToken : found->second;
    return static_cast<std::int64_t>(static_cast<double>(promptBytes) / bytesPerToken) + 1;
}

void TokenEstimator::observe(const std::string &model, std::size_t promptBytes, std::int64_t tokens)
{
    if (tokens < fewestTokens)
        return;
    const double sample = std::clamp(static_cast<double>(promptBytes) / static_cast<double>(tokens),
                                     fewestBytesPerToken, mostBytesPerToken);
    const std::lock_guard lock(m_mutex);
    const auto position = m_bytesPerToken.try_emplace(model, initialBytesPerToken).first;
    position->second += learningShare * (sample - position->second);
}

std::int64_t TokenEstimator::expectedOutput(const std::string &model, std::int64_t maximum) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_outputTokens.find(model);
    const double expected = found == m_outputTokens.end() ? initialOutputTokens : found->second;
    return std::clamp<std::int64_t>(static_cast<std::int64_t>(expected), 1, maximum);
}

void TokenEstimator::observeOutput(const std::string &model, std::int64_t tokens)
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_outputTokens.try_emplace(model, initialOutputTokens).first;
    position->second += learningShare * (static_cast<double>(tokens) - position->second);
}

} // namespace Lavenderpick
