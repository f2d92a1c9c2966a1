#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Http/HttpServer.h"
#include "lavenderpick/Http/ServerSentEvents.h"
#include "lavenderpick/Protocol/AttemptMessages.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace Lavenderpick {

/// How a `FakeAgent` treats one attempt.
struct AttemptScript
{
    enum class Then {
        End,
        Break,   ///< Closes the connection without an end event.
        Silence, ///< Keeps the connection open and sends nothing more.
        Fail,
        Refuse,
        WrongDigest,
    };
    std::int64_t tokens { 0 }; ///< Sent before `then`.
    Then then { Then::End };
    bool forgets { false }; ///< A resume is answered 404.
    bool repeats { false }; ///< Every event is sent twice, after one of another attempt.
};

/// An agent in the test's own process whose answer to every prompt is `t0 t1 t2 ...`.
class FakeAgent
{
public:
    FakeAgent()
        : m_server({ .threads = 16, .idleSeconds = 1 }, m_metrics)
    {
        auto &routes = m_server.routes();
        routes.Post("/internal/attempts", [this](const auto &request, auto &response) {
            const auto attempt = AttemptRequest::parse(parseJson(request.body, "attempt"));
            start(attempt, response);
        });
        routes.Get(R"(/internal/attempts/([^/]+)/events)",
                   [this](const auto &request, auto &response) {
                       resume(request.matches[1], std::stoll(request.get_param_value("from")),
                              response);
                   });
        routes.Delete(R"(/internal/attempts/([^/]+))", [this](const auto &request, auto &response) {
            const std::lock_guard lock(m_mutex);
            m_cancelled.push_back(request.matches[1]);
            response.status = 204;
        });
        m_address = "127.0.0.1:" + std::to_string(m_server.start("127.0.0.1", 0));
    }

    ~FakeAgent() { m_stopping = true; }

    const std::string &address() const { return m_address; }

    void script(const AttemptScript &script)
    {
        const std::lock_guard lock(m_mutex);
        m_scripts.push_back(script);
    }

    std::vector<AttemptRequest> attempts()
    {
        const std::lock_guard lock(m_mutex);
        return m_attempts;
    }

    std::size_t resumes()
    {
        const std::lock_guard lock(m_mutex);
        return m_resumes;
    }

    std::vector<std::string> cancelled()
    {
        const std::lock_guard lock(m_mutex);
        return m_cancelled;
    }

    static std::string text(std::int64_t tokens)
    {
        std::string all;
        for (std::int64_t token = 0; token < tokens; ++token)
            all += tokenText(token);
        return all;
    }

private:
    using Then = AttemptScript::Then;

    static std::string tokenText(std::int64_t token) { return "t" + std::to_string(token) + " "; }

    static std::string eventText(const AttemptEvent &event)
    {
        return formatServerSentEvent(event.toJson().dump());
    }

    void start(const AttemptRequest &attempt, httplib::Response &response)
    {
        const std::lock_guard lock(m_mutex);
        m_attempts.push_back(attempt);
        m_script = m_scripts.empty()
                ? AttemptScript { .tokens = attempt.maximumTokens - attempt.resumeOffset }
                : m_scripts.front();
        if (!m_scripts.empty())
            m_scripts.pop_front();
        if (m_script.then == Then::Refuse)
            return answerProblem(response,
                                 { .reason = RefusalReason::Draining, .detail = "Stopping." });
        stream(attempt, attempt.resumeOffset, m_script, response);
    }

    void resume(const std::string &id, std::int64_t from, httplib::Response &response)
    {
        const std::lock_guard lock(m_mutex);
        ++m_resumes;
        if (m_script.forgets || m_attempts.back().attemptId != id)
            return answerProblem(response,
                                 { .reason = RefusalReason::NotFound, .detail = "Unknown." });
        stream(m_attempts.back(), from, { .tokens = m_attempts.back().maximumTokens - from },
               response);
    }

    void stream(const AttemptRequest &attempt, std::int64_t from, const AttemptScript &script,
                httplib::Response &response)
    {
        std::string events;
        for (std::int64_t token = from; token < from + script.tokens; ++token) {
            AttemptEvent event { .attemptId = attempt.attemptId,
                                 .offset = token,
                                 .text = tokenText(token) };
            if (script.repeats) {
                AttemptEvent other = event;
                other.attemptId = "another";
                events += eventText(other) + eventText(event);
            }
            events += eventText(event);
        }
        const std::int64_t count = from + script.tokens;
        const bool right = script.then == Then::End;
        if (right || script.then == Then::WrongDigest)
            events += eventText({ .type = AttemptEventType::End,
                                  .attemptId = attempt.attemptId,
                                  .count = count,
                                  .digest = right ? sha256(text(count)) : sha256("other"),
                                  .finishReason = "length",
                                  .usage = { .promptTokens = 9, .completionTokens = count } });
        if (script.then == Then::Fail)
            events += eventText({ .type = AttemptEventType::Failed,
                                  .attemptId = attempt.attemptId,
                                  .reason = "upstream_failed",
                                  .ran = "yes" });
        response.set_chunked_content_provider(
                "text/event-stream",
                [this, events, then = script.then](std::size_t, httplib::DataSink &sink) {
                    sink.write(events.data(), events.size());
                    while (then == Then::Silence && !m_stopping)
                        std::this_thread::sleep_for(Milliseconds(5));
                    if (then == Then::Break || then == Then::Silence)
                        return false;
                    sink.done();
                    return true;
                });
    }

    std::mutex m_mutex;
    std::deque<AttemptScript> m_scripts;
    AttemptScript m_script;
    std::vector<AttemptRequest> m_attempts;
    std::vector<std::string> m_cancelled;
    std::size_t m_resumes { 0 };
    std::atomic<bool> m_stopping { false };
    Metrics m_metrics;
    std::string m_address;
    HttpServer m_server; ///< Last, so that its threads end first.
};

} // namespace Lavenderpick
