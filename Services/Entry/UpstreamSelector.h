#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Reasons.h"
#include "lavenderpick/Routing/RoutingPolicy.h"

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
    std::span<const std::string> tried {}; ///< Upstreams of earlier attempts, used only when there
                                           ///< is no other.
};

/// An upstream and the agent beside it.
struct SelectedUpstream
{
    RouteDecision decision {}; ///< Says why when nothing was selected.
    std::string address {};    ///< Of the agent.

    explicit operator bool() const { return !address.empty(); }
    const std::string &upstream() const { return decision.upstream; }
};

/// How an attempt ended.
struct AttemptResult
{
    bool failed { false }; ///< The upstream or its agent broke down; a refusal is not a failure.
    std::optional<std::int64_t> cachedTokens {}; ///< Set when the attempt ended completely.
    std::int64_t outputTokens { 0 };             ///< Tokens that this attempt sent.
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
    virtual void onFinished(const std::string &attemptId, const AttemptResult &result) = 0;

    /// Whether another attempt may be made now, within the retry budget.
    virtual bool mayRetry(RetryReason reason) = 0;
    virtual void onSuccess() = 0;
};

} // namespace Lavenderpick
