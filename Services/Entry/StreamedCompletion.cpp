#include "Services/Entry/StreamedCompletion.h"

#include "lavenderpick/Http/ServerSentEvents.h"

namespace Lavenderpick {

namespace {

// Refusals by agents arrive sooner. After this time the stream is opened, since only writing to it
// shows that a caller has left during a long prefill.
constexpr Seconds firstTextWait { 2 };
constexpr Seconds heartbeatPeriod { 1 };

} // namespace

StreamedCompletion::StreamedCompletion(CompletionFormat format, Run run)
    : m_format(std::move(format))
    , m_thread([this, run = std::move(run)] {
        try {
            m_channel.finish(run(m_channel));
        } catch (const std::exception &error) {
            m_channel.finish({ .problem = Problem { .reason = RefusalReason::UpstreamFailed,
                                                    .detail = error.what(),
                                                    .ran = Ran::Unknown } });
        }
    })
{ }

StreamedCompletion::~StreamedCompletion()
{
    m_channel.close();
    m_thread.join();
}

void StreamedCompletion::waitForFirstText()
{
    m_first = m_channel.take(firstTextWait);
    if (m_first.text.empty() && m_first.outcome && m_first.outcome->problem)
        throw ProblemError(*m_first.outcome->problem);
}

bool StreamedCompletion::writeNext(httplib::DataSink &sink)
{
    AnswerChannel::Progress progress;
    std::swap(progress, m_first);
    if (progress.isEmpty())
        progress = m_channel.take(heartbeatPeriod);
    if (progress.isEmpty())
        return write(sink, serverSentEventHeartbeat);
    if (!progress.text.empty() && !write(sink, m_format.textEvent(progress.text)))
        return false;
    if (!progress.outcome)
        return true;
    const CompletionOutcome &outcome = *progress.outcome;
    const std::string last = outcome.problem ? CompletionFormat::problemEvent(*outcome.problem)
                                             : m_format.endEvents(outcome);
    if (!write(sink, last))
        return false;
    sink.done();
    return true;
}

bool StreamedCompletion::write(httplib::DataSink &sink, std::string_view bytes)
{
    if (sink.write(bytes.data(), bytes.size()))
        return true;
    m_channel.close();
    return false;
}

} // namespace Lavenderpick
