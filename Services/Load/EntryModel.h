#pragma once

#include "Services/Load/Arrivals.h"
#include "Services/Load/EngineModel.h"
#include "lavenderpick/Limits/Admission.h"
#include "lavenderpick/Limits/FairQueue.h"
#include "lavenderpick/Membership/MemberTable.h"
#include "lavenderpick/Retry/Backoff.h"
#include "lavenderpick/Retry/OutlierDetector.h"
#include "lavenderpick/Retry/RetryBudget.h"
#include "lavenderpick/Routing/Router.h"

#include <memory>
#include <string>
#include <vector>

namespace Lavenderpick::Load {

/// One request in `mode: model`.
struct ModelRequest
{
    std::uint64_t id { 0 };
    Arrival arrival;
    std::vector<PrefixHash> prefix {};
    int entry { 0 };
    double deadlineAt { 0 };
    double idleFirstToken { 0 };
    double idleResponse { 0 };
    double firstTokenAt { 0 };
    bool admitted { false };
    int retries { 0 };
    std::vector<std::string> tried {};
    std::int64_t delivered { 0 }; ///< Tokens of earlier attempts.

    std::string attemptId {};
    RouteDecision decision {};
    double sentAt { 0 };
    std::int64_t cached { 0 };
    std::vector<int> group {};                  ///< Engines of a prompt over one engine's memory.
    std::vector<std::int64_t> reserved {};      ///< Tokens reserved on each of them.
    std::vector<std::uint64_t> incarnations {}; ///< Of them, when reserved.
    std::size_t segment { 0 };
};

/// One entry with the real policy classes, without its network.
class EntryModel
{
public:
    EntryModel(const Experiment &experiment, int number);

    void observeReport(const LoadReport &report, TimePoint now);

    /// Takes over liveness, ejections and ramps. Call after a failure and about once a second.
    void refreshCandidates(TimePoint now);

    /// Once a second: pressure, lending.
    void tick(TimePoint now);

    RouteDecision route(const ModelRequest &request, TimePoint now);

    /// Engines for a prompt over one engine's memory; empty when they are not free.
    std::vector<std::string> routeGroup(const ModelRequest &request, TimePoint now);

    CallerAdmissionDecision admit(const ModelRequest &request, double remaining, TimePoint now);

    void onSent(const ModelRequest &request, const std::string &upstream, const PredictedCost &cost,
                TimePoint now);
    void onFirstToken(const ModelRequest &request, double nowSeconds, TimePoint now);
    void onFinished(const ModelRequest &request, const std::string &upstream, TimePoint now);
    void onFailed(const ModelRequest &request, const std::string &upstream, TimePoint now);

    /// Delay of a retry; nothing when the budget or the deadline forbids it.
    std::optional<Duration> retryDelay(RetryReason reason, int retries, double remaining);

    CustomerBudgets &budgets() { return m_budgets; }
    FairQueue &queue() { return m_queue; }
    int zone() const { return m_zone; }

private:
    RouteRequest routeRequest(const ModelRequest &request) const;

    const Experiment &m_experiment;
    int m_zone;
    SeededRandom m_random;
    CostModel m_costs;
    LoadView m_view;
    PrefixIndex m_prefixes;
    Router m_router;
    std::unique_ptr<RoutingPolicy> m_policy;
    CustomerBudgets m_budgets;
    Admission m_admission;
    RetryBudget m_retryBudget;
    Backoff m_backoff;
    OutlierDetector m_outliers;
    FairQueue m_queue;
    MemberTable m_members;
    std::vector<Candidate> m_candidates;
};

/// Name of the modelled engine and of the modelled customer with the number.
std::string engineName(int number);
std::string customerName(int number);

} // namespace Lavenderpick::Load
