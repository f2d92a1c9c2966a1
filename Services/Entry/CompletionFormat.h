#pragma once

#include "Services/Entry/CompletionRelay.h"

#include <cstdint>
#include <string>

namespace Lavenderpick {

/// Writes responses in the form of the usual completions interface.
class CompletionFormat
{
public:
    CompletionFormat(std::string requestId, std::string model, std::int64_t createdSeconds);

    /// The body of a response that is not streamed.
    nlohmann::json body(const CompletionOutcome &outcome) const;

    /// An event with the text of one or more tokens.
    std::string textEvent(const std::string &text) const;

    /// The last events of a complete stream: finish reason and usage, then `[DONE]`.
    std::string endEvents(const CompletionOutcome &outcome) const;

    /// The last event of a stream that failed after it had begun; no `[DONE]` follows.
    static std::string problemEvent(const Problem &problem);

private:
    nlohmann::json message(const std::string &text, const nlohmann::json &finishReason) const;

    std::string m_requestId;
    std::string m_model;
    std::int64_t m_created;
};

} // namespace Lavenderpick
