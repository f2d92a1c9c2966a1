// The path of one request through `FleetModel`.
#include "Services/Load/FleetModel.h"

#include <algorithm>

namespace Lavenderpick::Load {

namespace {

constexpr double networkSeconds = 0.001; // One way between entry and agent.

} // namespace

void FleetModel::handle(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    ModelRequest &request = found->second;
    EntryModel &entry = entryOf(request);
    request.decision = entry.route(request, now());
    const std::int64_t tokens = request.arrival.promptTokens + request.arrival.outputTokens;
    const bool needsGroup =
            static_cast<double>(tokens) > 0.95 * static_cast<double>(m_engineSettings.kvTokenCount);
    if (!request.decision && request.decision.refusal == RefusalReason::NoUpstream && !needsGroup) {
        if (request.tried.empty())
            return refuse(id, RefusalReason::NoUpstream);
        request.tried.clear();
        return wait(request);
    }
    if (!admit(request))
        return;
    if (needsGroup && !reserveGroup(request))
        return wait(request);
    if (needsGroup)
        return sendSegment(request);
    if (!request.decision)
        return wait(request);
    send(request);
}

bool FleetModel::admit(ModelRequest &request)
{
    if (request.admitted)
        return true;
    const CallerAdmissionDecision decision =
            entryOf(request).admit(request, request.deadlineAt - m_seconds, now());
    request.admitted = decision.admitted();
    if (!decision.admitted())
        refuse(request.id, *decision.refusal);
    return decision.admitted();
}

void FleetModel::wait(ModelRequest &request)
{
    // The deadline in the queue is the last moment at which the request can still finish; on a busy
    // engine a long prompt takes up to three times the idle time.
    const double latest = request.deadlineAt - 3 * request.idleResponse;
    const Duration left = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::max(0.0, latest - m_seconds)));
    const std::optional<QueuedRequest> shed = entryOf(request).queue().push(
            { .id = request.id,
              .customer = customerName(request.arrival.customer),
              .priorityRank = request.arrival.promptTokens > maximumShortPromptTokens ? 1 : 0,
              .cost = request.decision.cost.chargedSeconds(),
              .deadline = now() + left,
              .enqueuedAt = now() });
    if (shed)
        refuse(shed->id, RefusalReason::QueueFull);
}

void FleetModel::serveQueue(EntryModel &entry)
{
    if (m_experiment.uses("admission")) {
        for (const QueuedRequest &expired : entry.queue().expire(now()))
            refuse(expired.id, RefusalReason::DeadlineExceeded);
    }
    // Each pass tries every waiting request once; what finds no memory queues again.
    for (std::size_t left = entry.queue().size(); left > 0; --left) {
        const std::optional<QueuedRequest> next = entry.queue().pop(now());
        if (!next)
            return;
        const std::size_t waiting = entry.queue().size();
        handle(next->id);
        if (entry.queue().size() > waiting)
            return;
    }
}

void FleetModel::send(ModelRequest &request)
{
    request.attemptId = std::to_string(request.id) + "-" + std::to_string(request.retries);
    request.sentAt = m_seconds;
    entryOf(request).onSent(request, request.decision.upstream, request.decision.cost, now());
    const int number = m_engineNumbers.at(request.decision.upstream);
    at(m_seconds + networkSeconds, [this, id = request.id, number] {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            return;
        ModelRequest &sent = found->second;
        Engine &engine = m_engines[static_cast<std::size_t>(number)];
        if (engine.down)
            return fail(id, engineName(number));
        sent.cached = engine.model.usePrefix(sent.arrival.customer, sent.arrival.prefixTokens);
        const std::int64_t prompt = sent.arrival.promptTokens + sent.delivered;
        submit(number,
               { .id = id,
                 .promptTokens = prompt - sent.cached,
                 .contextTokens = sent.cached,
                 .outputTokens =
                         std::max<std::int64_t>(1, sent.arrival.outputTokens - sent.delivered),
                 .kvTokenCount = sent.arrival.promptTokens + sent.arrival.outputTokens,
                 .rank = promptLengthClass(prompt) });
    });
}

bool FleetModel::reserveGroup(ModelRequest &request)
{
    const std::vector<std::string> names = entryOf(request).routeGroup(request, now());
    if (names.empty())
        return false;
    const std::int64_t tokens = request.arrival.promptTokens + request.arrival.outputTokens;
    const auto share = (tokens + static_cast<std::int64_t>(names.size()) - 1)
            / static_cast<std::int64_t>(names.size());
    request.group.clear();
    request.reserved.clear();
    request.incarnations.clear();
    for (const std::string &name : names) {
        const int number = m_engineNumbers.at(name);
        Engine &engine = m_engines[static_cast<std::size_t>(number)];
        if (engine.down || !engine.model.reserve(share)) {
            releaseGroup(request);
            return false;
        }
        request.group.push_back(number);
        request.reserved.push_back(share);
        request.incarnations.push_back(engine.incarnation);
    }
    request.segment = 0;
    request.attemptId = std::to_string(request.id) + "-" + std::to_string(request.retries);
    request.sentAt = m_seconds;
    return true;
}

void FleetModel::sendSegment(ModelRequest &request)
{
    const auto segments = static_cast<std::int64_t>(request.group.size());
    const std::int64_t size = (request.arrival.promptTokens + segments - 1) / segments;
    const std::int64_t before = size * static_cast<std::int64_t>(request.segment);
    const std::int64_t tokens = std::min(size, request.arrival.promptTokens - before);
    const bool last = request.segment + 1 == request.group.size();
    const int number = request.group[request.segment];
    if (m_engines[static_cast<std::size_t>(number)].down)
        return fail(request.id, engineName(number));
    entryOf(request).onSent(request, engineName(number),
                            { .prefillSeconds = EngineModel::idlePrefillSeconds({}, tokens, before),
                              .kvTokenCount = 0 },
                            now());
    submit(number,
           { .id = request.id,
             .promptTokens = tokens,
             .contextTokens = before,
             .outputTokens = last ? std::max<std::int64_t>(1, request.arrival.outputTokens) : 0,
             .rank = 2 });
}

void FleetModel::releaseGroup(ModelRequest &request)
{
    for (std::size_t place = 0; place < request.group.size(); ++place) {
        Engine &engine = m_engines[static_cast<std::size_t>(request.group[place])];
        if (engine.incarnation == request.incarnations[place])
            engine.model.release(request.reserved[place]);
    }
    request.group.clear();
}

void FleetModel::submit(int number, const EngineSequence &sequence)
{
    m_engines[static_cast<std::size_t>(number)].model.submit(sequence);
    startStep(number);
}

void FleetModel::onPrefilled(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    ModelRequest &request = found->second;
    if (!request.group.empty() && request.segment + 1 < request.group.size()) {
        entryOf(request).onFinished(request, engineName(request.group[request.segment]), now());
        ++request.segment;
        return sendSegment(request);
    }
    if (request.firstTokenAt == 0)
        request.firstTokenAt = m_seconds;
    if (request.group.empty())
        entryOf(request).onFirstToken(request, m_seconds, now());
}

void FleetModel::onFinished(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    // A segment's sequence finishes after its request has moved on.
    if (found == m_requests.end() || found->second.firstTokenAt == 0)
        return;
    ModelRequest &request = found->second;
    const std::string upstream =
            request.group.empty() ? request.decision.upstream : engineName(request.group.back());
    entryOf(request).onFinished(request, upstream, now());
    releaseGroup(request);
    record(request, "", true);
    m_requests.erase(found);
}

void FleetModel::fail(std::uint64_t id, const std::string &upstream)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    ModelRequest &request = found->second;
    EntryModel &entry = entryOf(request);
    entry.onFailed(request, upstream, now());
    releaseGroup(request);
    request.tried.push_back(upstream);
    const double remaining = request.deadlineAt - m_seconds - request.idleResponse;
    const RetryReason reason = RetryReason::UpstreamFailed;
    const std::optional<Duration> delay = entry.retryDelay(reason, request.retries, remaining);
    if (!delay) {
        record(request, "", false);
        m_requests.erase(found);
        return;
    }
    ++request.retries;
    m_results->countRetry(m_seconds, std::string(toString(reason)));
    at(m_seconds + std::chrono::duration<double>(*delay).count(), [this, id] { handle(id); });
}

void FleetModel::refuse(std::uint64_t id, RefusalReason reason)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    record(found->second, std::string(toString(reason)), false);
    m_requests.erase(found);
}

void FleetModel::record(const ModelRequest &request, const std::string &refusal, bool completed)
{
    const Arrival &arrival = request.arrival;
    m_results->add({ .arrival = arrival,
                     .refusal = refusal,
                     .completed = completed,
                     .firstTokenSeconds = request.firstTokenAt - arrival.atSeconds,
                     .responseSeconds = m_seconds - arrival.atSeconds,
                     .idleFirstTokenSeconds = request.idleFirstToken,
                     .idleResponseSeconds = request.idleResponse,
                     .deadlineSeconds = request.deadlineAt - arrival.atSeconds,
                     .workSeconds = EngineModel::workSeconds({}, arrival.promptTokens) });
}

} // namespace Lavenderpick::Load
