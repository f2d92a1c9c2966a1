#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Objective.h"
#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Base/Reasons.h"
#include "lavenderpick/Routing/CostModel.h"
#include "lavenderpick/Routing/LoadView.h"
#include "lavenderpick/Routing/PrefixIndex.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Lavenderpick {

/// An upstream that can be chosen.
struct Candidate
{
    std::string upstream;
    int distance { 0 };        ///< 0 same availability zone, 1 same region, 2 far.
    bool usable { true };      ///< False for suspect, leaving and ejected upstreams.
    double trafficShare { 1 }; ///< Below 1 during the slow start after an ejection.
};

struct RouteRequest
{
    std::string model;
    std::int64_t promptTokens { 0 };
    std::int64_t outputTokens { 0 };       ///< Expected number, at most the request's maximum.
    std::span<const PrefixHash> prefix {}; ///< Empty without prefix affinity.
    std::span<const std::string> tried {}; ///< Upstreams of earlier attempts.
};

struct RouteDecision
{
    std::string upstream; ///< Empty when refused.
    RefusalReason refusal { RefusalReason::NoUpstream };
    PredictedCost cost {};
    double firstTokenSeconds { 0 }; ///< Predicted, including wait and round trip.
    double waitSeconds { 0 };       ///< The part of it spent waiting for other requests.
    std::int64_t cachedTokens { 0 };
    /// Set with UpstreamMemory: KV tokens that routing may use on one engine for a prompt of this
    /// length. A prompt above it needs several engines; any other can wait.
    std::int64_t largestPlannableKvTokens { 0 };

    explicit operator bool() const { return !upstream.empty(); }
};

/// Chooses an upstream for an attempt.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    /// Refuses with NoUpstream when no candidate is usable, and with UpstreamMemory when none has
    /// enough free KV memory.
    virtual RouteDecision choose(const RouteRequest &request, std::span<const Candidate> candidates,
                                 TimePoint now, Random &random) = 0;
};

} // namespace Lavenderpick
