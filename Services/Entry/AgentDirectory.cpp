#include "Services/Entry/AgentDirectory.h"

#include "lavenderpick/Membership/ReportInterval.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

// Prefill work that a fleet holds without long waits; long prompts alone exceed a few seconds.
constexpr double pressureReferenceSeconds = 10;
constexpr std::size_t maximumGroup = 16;
// Agents answer the first subscription within a round trip; the second is sent after four seconds.
constexpr Seconds longestWaitForReports { 5 };

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

std::vector<std::string> namesOf(const DocumentSection &section)
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : section.entries)
        names.push_back(name);
    return names;
}

} // namespace

AgentDirectory::AgentDirectory(const EntryContext &context)
    : m_context(context)
    , m_subset(context.settings.name, context.settings.region, context.settings.availabilityZone,
               { .size = static_cast<std::size_t>(context.settings.subsetSize) })
    , m_gossipSchedule(context.settings.name, context.settings.periods.gossip)
    , m_loadView(m_costModel)
    , m_router({}, m_costModel, m_loadView, m_prefixIndex)
{ }

void AgentDirectory::applyVmList(const VmChanges &changes)
{
    const std::lock_guard lock(m_mutex);
    m_members.apply(changes, m_context.clock.now());
    if (!m_listedAt)
        m_listedAt = m_context.clock.now();
    for (const Vm &vm : changes.vms) {
        if (vm.state != VmState::Gone || vm.upstream.empty())
            continue;
        m_prefixIndex.forget(vm.upstream);
        m_outliers.forget(vm.upstream);
    }
}

std::int64_t AgentDirectory::vmListVersion() const
{
    const std::lock_guard lock(m_mutex);
    return m_members.listVersion();
}

VmChanges AgentDirectory::vmList() const
{
    const std::lock_guard lock(m_mutex);
    VmChanges list { .version = m_members.listVersion() };
    for (const auto &[name, member] : m_members.members())
        list.vms.push_back(member.vm);
    return list;
}

bool AgentDirectory::hasHeardFromAgents() const
{
    const std::lock_guard lock(m_mutex);
    if (!m_listedAt)
        return false;
    return m_heardFromAgents || m_context.clock.now() - *m_listedAt >= longestWaitForReports;
}

bool AgentDirectory::haveWatchedAgentsReported() const
{
    const auto &watched = m_subset.watched();
    return !watched.empty()
            && std::all_of(watched.begin(), watched.end(), [this](const std::string &upstream) {
                   const Member *member = m_members.findUpstream(upstream);
                   return member != nullptr && member->incarnation != 0;
               });
}

bool AgentDirectory::observeReport(const LoadReport &report)
{
    const std::lock_guard lock(m_mutex);
    const Member *before = m_members.findUpstream(report.upstream);
    const bool restarted = before != nullptr && before->incarnation != 0
            && report.incarnation > before->incarnation;
    const TimePoint now = m_context.clock.now();
    if (!m_members.observeReport(report, now))
        return false;
    m_loadView.observeReport(report, now);
    if (restarted)
        m_outliers.forget(report.upstream);
    return true;
}

void AgentDirectory::refresh()
{
    const auto document = m_context.replica.current();
    std::vector<std::string> groups = namesOf(document->section(SectionName::models));
    for (std::string &service : namesOf(document->section(SectionName::services)))
        groups.push_back(std::move(service));
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_context.clock.now();
    m_router.setObjective(document->objective());
    m_members.expire(now);
    // Reports tell which models an agent has; it is chosen for them from the next update on.
    const bool reported = haveWatchedAgentsReported();
    m_subset.update(m_members, groups, now);
    m_heardFromAgents = m_heardFromAgents || (reported && document->version() > 0);
    m_members.setReportInterval(
            std::max(reportHeartbeatInterval, reportIntervalFor(m_subset.watched().size())));
    m_outliers.setKnownUpstreams(m_subset.watched().size());
}

std::vector<std::string> AgentDirectory::watchedDatagramAddresses() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> addresses;
    for (const std::string &upstream : m_subset.watched()) {
        if (const Member *member = m_members.findUpstream(upstream))
            addresses.push_back(member->vm.datagramAddress);
    }
    return addresses;
}

std::optional<Vm> AgentDirectory::nextGossipPeer()
{
    const std::lock_guard lock(m_mutex);
    return m_gossipSchedule.nextPeer(m_members, m_context.clock.now(), m_context.random);
}

std::vector<Vm> AgentDirectory::entries() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Vm> vms;
    for (const std::string &name : m_members.liveEntryVms())
        vms.push_back(m_members.findVm(name)->vm);
    return vms;
}

SelectedUpstream AgentDirectory::select(const SelectionRequest &request)
{
    const std::vector<PrefixHash> prefix = prefixHashes(request.model, request.prompt);
    RouteRequest route {
        .model = request.model,
        .promptTokens = request.promptTokens,
        .outputTokens = request.outputTokens,
        .prefix = prefix,
        .tried = request.tried,
    };
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_context.clock.now();
    const std::vector<Candidate> choices = candidates(request.model, now);
    RouteDecision decision = m_router.choose(route, choices, now, m_context.random);
    if (!decision && !request.tried.empty()) {
        route.tried = {};
        decision = m_router.choose(route, choices, now, m_context.random);
    }
    return withAddress(std::move(decision));
}

void AgentDirectory::onSent(const std::string &attemptId, const SelectedUpstream &target,
                            const SelectionRequest &request)
{
    std::vector<PrefixHash> prefix = prefixHashes(request.model, request.prompt);
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_context.clock.now();
    const RouteDecision &decision = target.decision;
    const bool isShort = request.promptTokens - decision.cachedTokens <= maximumShortPromptTokens;
    m_loadView.recordSent(decision.upstream, attemptId, decision.cost, isShort, now);
    m_attempts[attemptId] = {
        .upstream = decision.upstream,
        .model = request.model,
        .promptTokens = request.promptTokens,
        .cachedTokens = decision.cachedTokens,
        .waitSeconds = decision.waitSeconds,
        .prefix = std::move(prefix),
        .sentAt = now,
    };
}

void AgentDirectory::onFirstToken(const std::string &attemptId)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_attempts.find(attemptId);
    if (found == m_attempts.end())
        return;
    found->second.firstTokenAt = m_context.clock.now();
    m_loadView.recordFirstToken(found->second.upstream, attemptId);
}

void AgentDirectory::onFinished(const std::string &attemptId, const AttemptResult &result)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_attempts.find(attemptId);
    if (found == m_attempts.end())
        return;
    learnFrom(found->second, result);
    m_loadView.recordFinished(found->second.upstream, attemptId);
    m_attempts.erase(found);
}

void AgentDirectory::learnFrom(const Attempt &attempt, const AttemptResult &result)
{
    const TimePoint now = m_context.clock.now();
    if (result.failed)
        m_outliers.recordFailure(attempt.upstream, now);
    if (!attempt.firstTokenAt)
        return;
    m_outliers.recordSuccess(attempt.upstream, now);
    m_costModel.observeDecode(attempt.upstream, attempt.model, result.outputTokens,
                              secondsBetween(*attempt.firstTokenAt, now));
    // The true number of cached tokens is known only at the end.
    if (result.cachedTokens) {
        m_costModel.observePrefill(
                attempt.upstream, attempt.model, attempt.promptTokens, *result.cachedTokens,
                secondsBetween(attempt.sentAt, *attempt.firstTokenAt), attempt.waitSeconds);
        m_prefixIndex.recordCachedTokens(attempt.prefix, attempt.upstream, *result.cachedTokens);
    }
    m_prefixIndex.recordPrompt(attempt.prefix, attempt.upstream, now);
}

bool AgentDirectory::mayRetry(RetryReason reason)
{
    const std::lock_guard lock(m_mutex);
    return m_retryBudget.tryRetry(reason);
}

void AgentDirectory::onSuccess()
{
    const std::lock_guard lock(m_mutex);
    m_retryBudget.recordSuccess();
}

std::vector<GroupMember> AgentDirectory::selectGroup(const SelectionRequest &request) const
{
    const RouteRequest route {
        .model = request.model,
        .promptTokens = request.promptTokens,
        .outputTokens = request.outputTokens,
        .tried = request.tried,
    };
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_context.clock.now();
    std::vector<GroupMember> group;
    for (const std::string &upstream :
         m_router.chooseGroup(route, candidates(request.model, now), now, maximumGroup)) {
        const SelectedUpstream selected = withAddress({ .upstream = upstream });
        group.push_back({ .upstream = upstream,
                          .address = selected.address,
                          .freeTokens = m_loadView.load(upstream, now).kvFree });
    }
    return group;
}

double AgentDirectory::predictPrefill(const std::string &upstream, const std::string &model,
                                      std::int64_t tokens, std::int64_t contextTokens) const
{
    const std::lock_guard lock(m_mutex);
    return m_costModel.predict(upstream, model, tokens + contextTokens, contextTokens, 0)
            .prefillSeconds;
}

SelectedUpstream AgentDirectory::selectService(const std::string &service,
                                               const std::vector<std::string> &tried)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_context.clock.now();
    std::vector<const SubsetMember *> nearest;
    for (const SubsetMember &member : m_subset.members(service)) {
        const Member *agent = m_members.findUpstream(member.upstream);
        const bool usable = agent != nullptr && member.serving
                && m_members.mayReceiveWork(*agent, now) && !isPlannedAway(member.upstream)
                && !m_outliers.isEjected(member.upstream, now)
                && std::find(tried.begin(), tried.end(), member.upstream) == tried.end();
        // Members are ordered by distance, and a call's cost is not known.
        if (usable && (nearest.empty() || nearest.front()->distance == member.distance))
            nearest.push_back(&member);
    }
    if (nearest.empty())
        return {};
    return withAddress({ .upstream = nearest[m_context.random.below(nearest.size())]->upstream });
}

void AgentDirectory::recordServiceResult(const std::string &upstream, bool failed)
{
    const std::lock_guard lock(m_mutex);
    if (failed)
        m_outliers.recordFailure(upstream, m_context.clock.now());
    else
        m_outliers.recordSuccess(upstream, m_context.clock.now());
}

FleetLoad AgentDirectory::fleetLoad() const
{
    const auto document = m_context.replica.current();
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_context.clock.now();
    std::vector<Candidate> all;
    for (const std::string &model : namesOf(document->section(SectionName::models))) {
        for (Candidate &candidate : candidates(model, now))
            all.push_back(std::move(candidate));
    }
    return { .pressure = fleetPressure(m_loadView, all, pressureReferenceSeconds, now),
             .shortPromptPressure = shortPromptPressure(m_loadView, all, now) };
}

nlohmann::json AgentDirectory::toJson() const
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_context.clock.now();
    nlohmann::json agents = nlohmann::json::array();
    for (const std::string &upstream : m_subset.watched()) {
        const Member *member = m_members.findUpstream(upstream);
        if (member == nullptr)
            continue;
        const UpstreamLoad load = m_loadView.load(upstream, now);
        agents.push_back({ { "upstream", upstream },
                           { "address", member->vm.address },
                           { "models", member->models },
                           { "usable", m_members.mayReceiveWork(*member, now) },
                           { "ejected", m_outliers.isEjected(upstream, now) },
                           { "kv_free", load.kvFree },
                           { "kv_capacity", load.kvCapacity },
                           { "own_requests", load.ownRequests } });
    }
    return { { "vm_list_version", m_members.listVersion() },
             { "members", m_members.members().size() },
             { "entries", m_members.liveEntryVms() },
             { "attempts", m_attempts.size() },
             { "agents", std::move(agents) } };
}

std::vector<Candidate> AgentDirectory::candidates(const std::string &model, TimePoint now) const
{
    std::vector<Candidate> all;
    for (const SubsetMember &member : m_subset.members(model)) {
        const Member *agent = m_members.findUpstream(member.upstream);
        all.push_back({ .upstream = member.upstream,
                        .distance = static_cast<int>(member.distance),
                        .usable = agent != nullptr && member.serving
                                && m_members.mayReceiveWork(*agent, now)
                                && !isPlannedAway(member.upstream),
                        .trafficShare = m_outliers.trafficShare(member.upstream, now) });
    }
    return all;
}

SelectedUpstream AgentDirectory::withAddress(RouteDecision decision) const
{
    const Member *member =
            decision.upstream.empty() ? nullptr : m_members.findUpstream(decision.upstream);
    SelectedUpstream selected { .decision = std::move(decision) };
    if (member != nullptr)
        selected.address = member->vm.address;
    return selected;
}

// O2: a plan counts at once, before the agent's next report shows it.
bool AgentDirectory::isPlannedAway(const std::string &upstream) const
{
    const auto plan = m_context.replica.current()->plan(upstream);
    return plan && plan->action != PlanAction::Serve;
}

} // namespace Lavenderpick
