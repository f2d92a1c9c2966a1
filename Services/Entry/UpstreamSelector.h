#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Reasons.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderpick {

/// What an attempt needs from an upstream.
struct SelectionRequest
{
    std::string model;
    std::string_view prompt {};
    std::int64_t promptTokens { 0 };
    std::int64_t outputTokens { 0 };
    std::span<const std::string> tried {}; ///< Upstreams of earlier attempts, which come last.
};

/// An upstream and the agent beside it.
struct SelectedUpstream
{
    std::string upstream; ///< Empty when refused.
    std::string address;
    RefusalReason refusal { RefusalReason::NoUpstream };
    double firstTokenSeconds { 0 }; ///< Predicted.
    double waitSeconds { 0 };       ///< The part of it spent behind other work.

    explicit operator bool() const { return !upstream.empty(); }
};

/// Chooses upstreams and learns from what became of the attempts. Implementations are safe for
/// concurrent use.
class UpstreamSelector
{
public:
    virtual ~UpstreamSelector() = default;

    virtual SelectedUpstream select(const SelectionRequest &request) = 0;

    /// The attempt is about to be sent to a selected upstream.
    virtual void onSent(const std::string &attemptId, const SelectedUpstream &target,
                        const SelectionRequest &request) = 0;

    virtual void onFirstToken(const std::string &attemptId) = 0;

    /// The attempt is over. `failed` is set when the upstream or its agent broke down; a refusal is
    /// not a failure. `cachedTokens` is set when the attempt ended completely.
    virtual void onFinished(const std::string &attemptId, bool failed,
                            std::optional<std::int64_t> cachedTokens,
                            std::int64_t outputTokens) = 0;

    /// Whether another attempt may be made now, within the retry budget.
    virtual bool mayRetry(RetryReason reason) = 0;
    virtual void onSuccess() = 0;
};

} // namespace Lavenderpick
