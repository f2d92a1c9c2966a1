#include "Services/Agent/AttemptService.h"

#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Base/Problem.h"
#include "lavenderpick/Http/ServerSentEvents.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

constexpr Seconds heartbeatInterval { 1 };
constexpr std::int64_t bytesPerToken = 4;

// Engine priorities of short prompts are above those of all long ones.
constexpr std::int64_t lowestShortPriority = 10;

std::int64_t prefillTokens(const AttemptRequest &request)
{
    const auto bytes = static_cast<std::int64_t>(request.prompt.size() + request.resumeText.size());
    return (bytes + bytesPerToken - 1) / bytesPerToken;
}

[[noreturn]] void refuse(RefusalReason reason, const std::string &requestId)
{
    const bool waitingHelps = reason == RefusalReason::QueueFull
            || reason == RefusalReason::UpstreamMemory || reason == RefusalReason::TooManyStreams;
    throw ProblemError({ .reason = reason,
                         .detail = "This upstream does not take the attempt. Use another one.",
                         .retryAfterSeconds = waitingHelps ? std::optional(1) : std::nullopt,
                         .requestId = requestId });
}

bool write(httplib::DataSink &sink, std::string_view bytes)
{
    return sink.write(bytes.data(), bytes.size());
}

} // namespace

/// Registers a serving thread while it exists.
struct AttemptService::Reader
{
    Reader(AttemptService &owner, std::string id)
        : service(owner)
        , attemptId(std::move(id))
    {
        const std::lock_guard lock(service.m_mutex);
        service.m_table.readerConnected(attemptId);
    }

    ~Reader()
    {
        const std::lock_guard lock(service.m_mutex);
        service.m_table.readerLeft(attemptId, service.m_clock.now());
    }

    Reader(const Reader &) = delete;
    Reader &operator=(const Reader &) = delete;

    AttemptService &service;
    std::string attemptId;
};

AttemptService::AttemptService(const AgentCaps &caps, Engine &engine, UpstreamGate &gate,
                               const DocumentReplica &document, const Clock &clock,
                               Metrics &metrics)
    : m_engine(engine)
    , m_gate(gate)
    , m_document(document)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_table(caps.attemptLimits())
{ }

AttemptService::~AttemptService()
{
    m_stopping = true;
    std::map<std::string, std::shared_ptr<AttemptRun>> runs;
    {
        const std::lock_guard lock(m_mutex);
        runs.swap(m_runs);
    }
    for (const auto &[id, run] : runs)
        run->cancel(RefusalReason::Draining);
}

void AttemptService::create(const AttemptRequest &request, httplib::Response &response)
{
    const std::int64_t rank = rankOf(request);
    const bool isLong = m_gate.isLong(prefillTokens(request));
    const std::int64_t priority =
            std::clamp<std::int64_t>(rank, 1 - lowestShortPriority, 0) + (isLong ? 0 : 10);
    const std::shared_ptr<AttemptRun> run = add(request, priority);
    admit(request, *run, rank);
    m_metrics.increment("lavenderpick_attempts_total",
                        isLong ? R"(length="long")" : R"(length="short")");
    stream(run, request.attemptId, request.resumeOffset, response);
}

void AttemptService::resume(const std::string &attemptId, std::int64_t from,
                            httplib::Response &response)
{
    const std::shared_ptr<AttemptRun> run = find(attemptId);
    if (!run)
        throw ProblemError({ .reason = RefusalReason::NotFound,
                             .detail = "The attempt is not known here. Start a new one.",
                             .ran = Ran::Unknown });
    stream(run, attemptId, from, response);
}

void AttemptService::cancel(const std::string &attemptId)
{
    const std::shared_ptr<AttemptRun> run = find(attemptId);
    if (!run)
        return;
    run->cancel(RefusalReason::Cancelled);
    // Whoever cancels does not come back for the last event.
    onDelivered(attemptId);
    if (!run->isStarted())
        onEnded(attemptId);
}

void AttemptService::maintain()
{
    for (const std::string &id : m_gate.dropExpired()) {
        if (const auto run = find(id))
            run->fail(RefusalReason::DeadlineExceeded);
        onEnded(id);
    }
    std::vector<AttemptTable::Expired> expired;
    std::vector<std::string> old;
    {
        const std::lock_guard lock(m_mutex);
        expired = m_table.expired(m_clock.now());
        old = m_table.removeOld(m_clock.now());
    }
    for (const AttemptTable::Expired &item : expired) {
        const auto run = find(item.attemptId);
        const bool abandoned = item.expiry == AttemptExpiry::Abandoned;
        // The reader of a cancelled attempt ends by itself; it is cancelled at the engine once.
        if (run && run->claimsEngine()) {
            run->cancel(abandoned ? RefusalReason::Cancelled : RefusalReason::DeadlineExceeded);
            m_metrics.increment("lavenderpick_attempts_expired_total",
                                abandoned ? R"(cause="abandoned")" : R"(cause="deadline")");
        } else if (run && !run->isStarted()) {
            run->fail(abandoned ? RefusalReason::Cancelled : RefusalReason::DeadlineExceeded);
            onEnded(item.attemptId);
        }
    }
    for (const std::string &id : old)
        remove(id);
    for (const std::string &id : m_gate.startWaiting())
        startRun(id);
}

void AttemptService::failAll(RefusalReason reason)
{
    std::vector<std::pair<std::string, std::shared_ptr<AttemptRun>>> runs;
    {
        const std::lock_guard lock(m_mutex);
        runs.assign(m_runs.begin(), m_runs.end());
    }
    for (const auto &[id, run] : runs) {
        if (run->fail(reason) && !run->isStarted())
            onEnded(id);
    }
}

std::size_t AttemptService::openCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.openCount(m_clock.now());
}

std::set<std::string> AttemptService::claims() const
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> ids;
    for (const auto &[id, run] : m_runs) {
        if (run->claimsEngine())
            ids.insert(id);
    }
    return ids;
}

// The document's rank 0 is served first; here higher ranks are.
std::int64_t AttemptService::rankOf(const AttemptRequest &request) const
{
    const auto document = m_document.current();
    const auto priority = document->priority(request.priority);
    return priority ? -priority->rank : 0;
}

std::shared_ptr<AttemptRun> AttemptService::find(const std::string &attemptId) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(attemptId);
    return found == m_runs.end() ? nullptr : found->second;
}

std::shared_ptr<AttemptRun> AttemptService::add(const AttemptRequest &request,
                                                std::int64_t enginePriority)
{
    auto run = std::make_shared<AttemptRun>(request, enginePriority, m_engine, m_gate, m_clock);
    const TimePoint now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    switch (m_table.add(request.attemptId, now + Milliseconds(request.deadlineMilliseconds), now)) {
    case AttemptTable::AddResult::Duplicate:
        refuse(RefusalReason::BadRequest, request.requestId);
    case AttemptTable::AddResult::Full:
        refuse(RefusalReason::TooManyStreams, request.requestId);
    case AttemptTable::AddResult::Added:
        break;
    }
    m_runs[request.attemptId] = run;
    return run;
}

void AttemptService::admit(const AttemptRequest &request, AttemptRun &run, std::int64_t rank)
{
    const std::int64_t tokens = prefillTokens(request);
    const auto result = m_gate.request(
            { .attemptId = request.attemptId,
              .model = request.model,
              .rank = rank,
              .prefillTokens = tokens,
              .kvTokenCount = tokens
                      + std::max<std::int64_t>(0, request.maximumTokens - request.resumeOffset),
              .reservationId = request.reservationId,
              .deadline = m_clock.now() + Milliseconds(request.deadlineMilliseconds) });
    if (result.decision == AdmissionDecision::Refused) {
        run.fail(result.reason);
        remove(request.attemptId);
        refuse(result.reason, request.requestId);
    }
    if (result.decision == AdmissionDecision::Started)
        startRun(request.attemptId);
}

void AttemptService::startRun(const std::string &attemptId)
{
    const auto run = find(attemptId);
    if (run)
        run->start([this, attemptId] { onEnded(attemptId); });
    // It was cancelled after its memory had been charged.
    if (!run || !run->isStarted())
        m_gate.finished(attemptId);
}

void AttemptService::stream(const std::shared_ptr<AttemptRun> &run, const std::string &attemptId,
                            std::int64_t from, httplib::Response &response)
{
    const auto reader = std::make_shared<Reader>(*this, attemptId);
    response.set_chunked_content_provider(
            "text/event-stream",
            [this, run, reader, from](std::size_t, httplib::DataSink &sink) mutable {
                const auto events = run->waitForEvents(from, heartbeatInterval);
                if (m_stopping)
                    return false;
                if (events.empty())
                    return write(sink, serverSentEventHeartbeat);
                std::string bytes;
                for (const AttemptEvent &event : events) {
                    bytes += formatServerSentEvent(toJsonText(event.toJson()));
                    from = event.offset + 1;
                }
                if (!write(sink, bytes))
                    return false;
                if (events.back().type != AttemptEventType::Token) {
                    onDelivered(reader->attemptId);
                    sink.done();
                }
                return true;
            });
}

void AttemptService::onEnded(const std::string &attemptId)
{
    m_gate.finished(attemptId);
    const std::lock_guard lock(m_mutex);
    m_table.ended(attemptId, m_clock.now());
}

void AttemptService::onDelivered(const std::string &attemptId)
{
    const std::lock_guard lock(m_mutex);
    m_table.delivered(attemptId);
}

void AttemptService::remove(const std::string &attemptId)
{
    std::shared_ptr<AttemptRun> run;
    const std::lock_guard lock(m_mutex);
    m_table.remove(attemptId);
    const auto found = m_runs.find(attemptId);
    if (found == m_runs.end())
        return;
    run = std::move(found->second);
    m_runs.erase(found);
}

} // namespace Lavenderpick
