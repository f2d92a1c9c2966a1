#include "FaultMatrix/Matrix.h"
#include "Services/Entry/CompletionStream.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Upstream/AttemptBuffer.h"

#include <map>

namespace Lavenderpick::FaultMatrix {

namespace {

constexpr int maximumSteps = 200;
const std::vector<std::string> answerTokens { "Wear ", "the ", "cleats ", "today." };

/// An entry relays a completion whose attempts run at agents; events cross all kinds of
/// connections.
class StreamWorld
{
public:
    StreamWorld(const Plan &plan, const Guards &guards)
        : m_guards(guards)
        , m_injector(m_clock, plan)
    {
        m_injector.whileFrozen = [this] {
            m_clock.advance(Seconds(60));
            deliver(m_lastEvents);
        };
        m_injector.race = [this] { m_buffers.clear(); }; // The agent is replaced.
        m_injector.redeliver = [this] { deliver(m_lastEvents); };
    }

    CellResult run()
    {
        try {
            for (int step = 0; step < maximumSteps && !m_finished && !m_failed; ++step)
                m_attempting ? fetch() : startAttempt();
            check(m_finished || m_failed, "a response neither ended nor failed");
            // Each fault costs one attempt at most; with all of them spent the response fails (R7).
            const auto faults = static_cast<int>(m_injector.planned().size());
            check(m_finished || faults >= CompletionStream::Limits {}.attempts,
                  "a response failed with attempts left");
        } catch (const ProcessKilled &) {
            // The entry died: the caller's connection breaks without an end event.
        }
        m_injector.quietly([this] { m_injector.recover(); });
        std::string expected;
        for (const auto &token : answerTokens)
            expected += token;
        check(!m_finished || m_delivered == expected, "another text was delivered as complete");
        check(expected.starts_with(m_delivered), "a wrong token was delivered");
        return { m_injector.kinds(), m_violations };
    }

private:
    void startAttempt()
    {
        const std::string id = "attempt-" + std::to_string(++m_attempts);
        const std::string text = m_stream.text();
        const std::int64_t offset = m_stream.nextOffset();
        m_stream.startAttempt(id);
        try {
            m_injector.perform<bool>(StepKind::Message, [this, id, text, offset] {
                m_buffers.insert_or_assign(id, AttemptBuffer(id, text, offset));
                return true;
            });
            m_attempting = true;
        } catch (const Error &) {
            follow(m_stream.onAttemptLost());
        }
    }

    void fetch()
    {
        const std::string id = m_stream.attemptId();
        const std::int64_t from = m_stream.nextOffset();
        try {
            const bool known = m_injector.perform<bool>(
                    StepKind::Message, [this, id, from] { return fetchAtAgent(id, from); });
            if (!known)
                follow(m_stream.onAttemptLost());
        } catch (const Error &) {
            follow(m_stream.onInterruption());
        }
    }

    bool fetchAtAgent(const std::string &id, std::int64_t from)
    {
        try {
            generate(id);
        } catch (const ProcessKilled &) {
            m_buffers.clear();
            throw Error(ErrorKind::UpstreamFailed, "The agent died", "Resume.");
        }
        const auto buffer = m_buffers.find(id);
        if (buffer == m_buffers.end())
            return false;
        deliver(buffer->second.eventsFrom(from, 1));
        return true;
    }

    void generate(const std::string &id)
    {
        const auto found = m_buffers.find(id);
        if (found == m_buffers.end() || found->second.hasEnded())
            return;
        const auto offset = static_cast<std::size_t>(found->second.nextOffset());
        bool engineLives = true;
        try {
            m_injector.perform<bool>(StepKind::Service, [] { return true; });
        } catch (const Error &) {
            engineLives = false;
        }
        const auto buffer = m_buffers.find(id); // The agent may have been replaced meanwhile.
        if (buffer == m_buffers.end())
            return;
        if (!engineLives)
            buffer->second.fail("upstream_failed", Ran::Yes);
        else if (offset < answerTokens.size())
            buffer->second.addToken(static_cast<std::int64_t>(offset), answerTokens[offset]);
        else
            endAttempt(buffer->second);
    }

    static void endAttempt(AttemptBuffer &buffer)
    {
        Sha256Stream digest;
        for (const auto &token : answerTokens)
            digest.update(token);
        buffer.end(static_cast<std::int64_t>(answerTokens.size()), digest.hexDigest(), "stop", {});
    }

    void deliver(const std::vector<AttemptEvent> &events)
    {
        m_lastEvents = events;
        for (const AttemptEvent &event : events) {
            const StreamStep step = m_stream.onEvent(event);
            const bool isToken = event.type == AttemptEventType::Token;
            if (step == StreamStep::Deliver || (isToken && !m_guards.offsets))
                m_delivered += event.text;
            follow(step);
        }
    }

    void follow(StreamStep step)
    {
        if (step == StreamStep::NewAttempt)
            m_attempting = false;
        m_finished |= step == StreamStep::Finish;
        m_failed |= step == StreamStep::Fail;
    }

    void check(bool holds, const std::string &violation)
    {
        if (!holds)
            m_violations.push_back(violation);
    }

    Guards m_guards;
    ManualClock m_clock {};
    Injector m_injector;
    CompletionStream m_stream { CompletionStream::Limits {} };
    std::map<std::string, AttemptBuffer> m_buffers {};
    std::vector<AttemptEvent> m_lastEvents {};
    std::string m_delivered {};
    int m_attempts { 0 };
    bool m_attempting { false };
    bool m_finished { false };
    bool m_failed { false };
    std::vector<std::string> m_violations {};
};

} // namespace

Scenario streamScenario()
{
    return { "stream", [](const Plan &plan, const Guards &guards) {
                return StreamWorld(plan, guards).run();
            } };
}

} // namespace Lavenderpick::FaultMatrix
