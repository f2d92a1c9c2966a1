#include "Services/Load/EntryModel.h"

#include "lavenderpick/Routing/BaselinePolicies.h"

#include <algorithm>

namespace Lavenderpick::Load {

namespace {

constexpr double unlimited = 1e12;
constexpr const char *model = "m";

// Mean prefill backlog per engine that counts as a full fleet.
constexpr double fullBacklogSeconds = 20;

RouterSettings routerSettings(const Experiment &experiment)
{
    RouterSettings settings;
    settings.objective = experiment.objective;
    settings.useAffinity = experiment.uses("affinity");
    settings.usePools = experiment.uses("pools");
    if (!experiment.uses("long_memory"))
        settings.longPromptPlannableMemoryShare = settings.plannableMemoryShare;
    if (!experiment.uses("sampling"))
        settings.samples = settings.longPromptSamples = 1'000'000;
    return settings;
}

RetryBudgetSettings retrySettings(const Experiment &experiment)
{
    RetryBudgetSettings settings;
    if (!experiment.uses("retry_budget"))
        settings.initialRetries = settings.maximumRetries = unlimited;
    return settings;
}

OutlierSettings outlierSettings(const Experiment &experiment)
{
    OutlierSettings settings;
    if (!experiment.uses("outliers"))
        settings.maximumEjectedShare = 0;
    return settings;
}

std::unique_ptr<RoutingPolicy> makePolicy(const Experiment &experiment, const CostModel &costs,
                                          const LoadView &view, const PrefixIndex &prefixes)
{
    if (experiment.policy == "round_robin")
        return std::make_unique<RoundRobinPolicy>(costs);
    if (experiment.policy == "least_outstanding")
        return std::make_unique<LeastOutstandingPolicy>(costs, view);
    return std::make_unique<Router>(routerSettings(experiment), costs, view, prefixes);
}

} // namespace

std::string engineName(int number)
{
    return "engine-" + std::to_string(number);
}

std::string customerName(int number)
{
    return "customer-" + std::to_string(number);
}

EntryModel::EntryModel(const Experiment &experiment, int number)
    : m_experiment(experiment)
    , m_zone(number % experiment.fleet.zones)
    , m_random(experiment.seed * 1'000 + static_cast<std::uint64_t>(number))
    , m_view(m_costs)
    , m_router(routerSettings(experiment), m_costs, m_view, m_prefixes)
    , m_policy(makePolicy(experiment, m_costs, m_view, m_prefixes))
    , m_admission({}, m_budgets)
    , m_retryBudget(retrySettings(experiment))
    , m_outliers(outlierSettings(experiment))
{
    const FleetPlan &fleet = experiment.fleet;
    VmChanges list { 1, {} };
    for (int engine = 0; engine < fleet.runners; ++engine) {
        const std::string name = engineName(engine);
        m_candidates.push_back(
                { .upstream = name, .distance = engine % fleet.zones == m_zone ? 0 : 1 });
        list.vms.push_back({ .name = name,
                             .role = "agent",
                             .address = name,
                             .datagramAddress = name,
                             .upstream = name });
    }
    m_members.apply(list, TimePoint {});
    for (const Candidate &candidate : m_candidates)
        m_members.setWatched(candidate.upstream, true, TimePoint {});
    m_outliers.setKnownUpstreams(m_candidates.size());
    m_budgets.setEntryCount(static_cast<std::size_t>(fleet.entries));
    const Arrivals shares(experiment, 1);
    for (int customer = 0; customer < experiment.customers; ++customer) {
        const double budget = experiment.uses("budgets")
                ? fleet.budgetFactor * fleet.runners * shares.customerShare(customer)
                : unlimited;
        m_budgets.setLimit(customerName(customer), { .costPerSecond = budget });
    }
}

void EntryModel::observeReport(const LoadReport &report, TimePoint now)
{
    m_view.observeReport(report, now);
    m_members.observeReport(report, now);
}

void EntryModel::refreshCandidates(TimePoint now)
{
    for (Candidate &candidate : m_candidates) {
        candidate.trafficShare = m_outliers.trafficShare(candidate.upstream, now);
        candidate.usable =
                m_members.mayReceiveWork(*m_members.findUpstream(candidate.upstream), now);
    }
}

void EntryModel::tick(TimePoint now)
{
    refreshCandidates(now);
    const double pressure = fleetPressure(m_view, m_candidates, fullBacklogSeconds, now);
    m_admission.setPressure(pressure);
    m_budgets.adjustLending(std::max(pressure, shortPromptPressure(m_view, m_candidates, now)),
                            now);
}

RouteRequest EntryModel::routeRequest(const ModelRequest &request) const
{
    return { .model = model,
             .promptTokens = request.arrival.promptTokens + request.delivered,
             .outputTokens = request.arrival.outputTokens - request.delivered,
             .prefix = request.prefix,
             .tried = request.tried };
}

RouteDecision EntryModel::route(const ModelRequest &request, TimePoint now)
{
    return m_policy->choose(routeRequest(request), m_candidates, now, m_random);
}

std::vector<std::string> EntryModel::routeGroup(const ModelRequest &request, TimePoint now)
{
    constexpr std::size_t maximumEngines = 8;
    return m_router.chooseGroup(routeRequest(request), m_candidates, now, maximumEngines);
}

CallerAdmissionDecision EntryModel::admit(const ModelRequest &request, double remaining,
                                          TimePoint now)
{
    if (!m_experiment.uses("admission"))
        return {};
    const PredictedCost &cost = request.decision.cost;
    return m_admission.admit(
            { .customer = customerName(request.arrival.customer),
              .priorityRank = request.arrival.promptTokens > maximumShortPromptTokens ? 1 : 0,
              .priorityCount = 2,
              .chargedSeconds = cost.chargedSeconds(),
              .executionSeconds = cost.prefillSeconds + cost.decodeSeconds,
              .waitSeconds = request.decision.waitSeconds,
              .remainingSeconds = remaining },
            now);
}

void EntryModel::onSent(const ModelRequest &request, const std::string &upstream,
                        const PredictedCost &cost, TimePoint now)
{
    if (m_experiment.uses("own_sends"))
        m_view.recordSent(upstream, request.attemptId, cost,
                          request.arrival.promptTokens <= maximumShortPromptTokens, now);
}

void EntryModel::onFirstToken(const ModelRequest &request, double nowSeconds, TimePoint now)
{
    const std::string &upstream = request.decision.upstream;
    m_view.recordFirstToken(upstream, request.attemptId);
    m_costs.observePrefill(upstream, model, request.arrival.promptTokens + request.delivered,
                           request.cached, nowSeconds - request.sentAt,
                           request.decision.waitSeconds);
    m_prefixes.recordCachedTokens(request.prefix, upstream, request.cached);
    m_prefixes.recordPrompt(request.prefix, upstream, now);
}

void EntryModel::onFinished(const ModelRequest &request, const std::string &upstream, TimePoint now)
{
    m_view.recordFinished(upstream, request.attemptId);
    m_outliers.recordSuccess(upstream, now);
    m_retryBudget.recordSuccess();
}

void EntryModel::onFailed(const ModelRequest &request, const std::string &upstream, TimePoint now)
{
    m_view.recordFinished(upstream, request.attemptId);
    m_outliers.recordFailure(upstream, now);
    refreshCandidates(now);
}

std::optional<Duration> EntryModel::retryDelay(RetryReason reason, int retries, double remaining)
{
    const auto left =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(remaining));
    const std::optional<Duration> delay = m_backoff.delay(retries, left, Duration {}, m_random);
    if (!delay || !m_retryBudget.tryRetry(reason))
        return std::nullopt;
    return delay;
}

} // namespace Lavenderpick::Load
