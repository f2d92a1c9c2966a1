#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Lavenderpick {

/// Estimates the tokens of prompts from their bytes and those of responses, corrected by the usage
/// that engines report. Safe for concurrent use.
class TokenEstimator
{
public:
    std::int64_t estimate(const std::string &model, std::size_t promptBytes) const;
    void observe(const std::string &model, std::size_t promptBytes, std::int64_t tokens);

    /// Tokens that a response probably has, at most `maximum`: most callers allow far more than
    /// they get.
    std::int64_t expectedOutput(const std::string &model, std::int64_t maximum) const;
    void observeOutput(const std::string &model, std::int64_t tokens);

private:
    mutable std::mutex m_mutex;
    std::map<std::string, double> m_bytesPerToken;
    std::map<std::string, double> m_outputTokens;
};

} // namespace Lavenderpick
