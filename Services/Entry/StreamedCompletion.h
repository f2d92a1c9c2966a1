#pragma once

#include "Services/Entry/AnswerChannel.h"
#include "Services/Entry/CompletionFormat.h"

#include <functional>
#include <httplib.h>
#include <thread>

namespace Lavenderpick {

/// Runs one completion on its own thread and writes it to the caller as server-sent events.
///
/// The server sends the status before it asks for the body, so the thread that handles the request
/// first waits for the relay: a refusal gets its own status.
class StreamedCompletion
{
public:
    using Run = std::function<CompletionOutcome(CompletionReceiver &)>;

    StreamedCompletion(CompletionFormat format, Run run);

    /// Tells the relay that the caller has left, if it has not ended, and waits for it.
    ~StreamedCompletion();

    StreamedCompletion(const StreamedCompletion &) = delete;
    StreamedCompletion &operator=(const StreamedCompletion &) = delete;

    /// Waits a moment for the first text. Throws `ProblemError` when the completion failed without
    /// any.
    void waitForFirstText();

    /// Writes what has arrived, or a heartbeat. Returns false when the caller has left.
    bool writeNext(httplib::DataSink &sink);

private:
    bool write(httplib::DataSink &sink, std::string_view bytes);

    CompletionFormat m_format;
    AnswerChannel m_channel;
    AnswerChannel::Progress m_first;
    std::thread m_thread;
};

} // namespace Lavenderpick
