#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Routing/RoutingPolicy.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Lavenderpick::Load {

/// Prompt lengths: log-normal below `longMinimum`, and above it a share whose density falls with
/// the square of the length, up to `maximum`.
struct LengthMix
{
    double median { 3'000 };
    double spread { 1.0 }; ///< Standard deviation of the logarithm.
    std::int64_t minimum { 1'000 };
    double longShare { 0.02 };
    std::int64_t longMinimum { 100'000 };
    std::int64_t maximum { 1'000'000 };
    double outputMean { 200 }; ///< Exponential, at least 1.
};

/// The engines and entries of `mode: model`, and the faults injected into them.
struct FleetPlan
{
    int zones { 3 };
    int runners { 24 };
    int entries { 4 };
    std::int64_t kvTokenCount { 450'000 };
    double reportSeconds { 1 };
    double reportLagSeconds { 0.5 };
    double budgetFactor { 1.5 }; ///< Sum of the customers' budgets over the fleet's capacity.
};

/// An availability zone whose engines are down for a while.
struct ZoneFault
{
    int zone { 0 };
    double atSeconds { 0 };
    double forSeconds { 30 };
};

/// From `atSeconds` on, arrivals come at `factor` times the rate.
struct Phase
{
    double atSeconds { 0 };
    double factor { 1 };
};

/// Where `mode: http` sends its requests.
struct HttpTarget
{
    std::vector<std::string> addresses {}; ///< Entries, used in turn.
    std::vector<std::string> keys {};      ///< One per customer.
    std::string model;
    std::vector<std::string> priorities {}; ///< For short and for long prompts; may be empty.
    int threads { 128 };                    ///< Requests in flight.
};

/// One run of an experiment.
struct Experiment
{
    std::string name { "run" };
    std::string mode { "model" };
    std::uint64_t seed { 1 };
    double seconds { 300 };
    double warmupSeconds { 60 }; ///< Requests that arrive earlier are not measured.
    double timeScale { 1 };      ///< Real over intended time in `mode: http`.
    double load { 0.8 };         ///< Share of the fleet's capacity, in `mode: model`.
    double rate { 0 };           ///< Requests a second; overrides `load`.
    std::string policy { "router" };
    Objective objective { Objective::ShortSlowdown };
    int customers { 10 };
    double customerSkew { 1 };           ///< Exponent of the Zipf law of the customers' shares.
    double floodFactor { 1 };            ///< The first customer sends this many times its share.
    std::int64_t prefixTokens { 2'000 }; ///< Length of a customer's prefix.
    double prefixShare { 0.3 };  ///< Of prompts, those that start with their customer's prefix.
    double deadlineFactor { 4 }; ///< Deadline over the response time on an idle engine.
    double deadlineFloorSeconds { 15 };
    LengthMix lengths;
    FleetPlan fleet;
    HttpTarget http;
    std::vector<Phase> phases;
    std::vector<ZoneFault> faults;
    std::set<std::string> off; ///< Mechanisms switched off.

    bool uses(const std::string &mechanism) const { return !off.contains(mechanism); }
};

/// Mechanisms that `off` may name.
extern const std::vector<std::string> experimentMechanisms;

/// Reads the runs of an experiment: the file's values, overridden by each entry of `runs`. Throws
/// `Error` of kind InvalidSettings that names file, line and remedy.
std::vector<Experiment> readExperiments(const std::string &path);

} // namespace Lavenderpick::Load
