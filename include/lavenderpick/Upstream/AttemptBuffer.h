#pragma once

#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Base/Reasons.h"
#include "lavenderpick/Protocol/AttemptMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// The events of one attempt by offset, so that a broken stream can be resumed. Performs no I/O and
/// is not safe for concurrent use.
class AttemptBuffer
{
public:
    /// `resumeText` and `resumeOffset` are what earlier attempts delivered of the answer.
    AttemptBuffer(std::string attemptId, const std::string &resumeText, std::int64_t resumeOffset);

    /// Adds the next token. Returns false, and adds nothing, when `offset` is not the next one or
    /// the attempt has ended: an engine repeats offsets when its stream is resumed.
    bool addToken(std::int64_t offset, const std::string &text);

    /// Ends the attempt. Returns false, and fails the attempt, when the engine's count or digest
    /// contradicts the buffered text.
    bool end(std::int64_t count, const std::string &digest, const std::string &finishReason,
             const Usage &usage);

    /// Ends the attempt without an answer; without effect when it has ended already.
    void fail(const std::string &reason, Ran ran);

    /// At most `limit` events from token offset `from`; the last event of an ended attempt follows
    /// its last token.
    std::vector<AttemptEvent> eventsFrom(std::int64_t from, std::size_t limit) const;

    const std::string &attemptId() const { return m_attemptId; }
    std::int64_t nextOffset() const;
    bool hasEnded() const { return m_last.has_value(); }
    const std::optional<AttemptEvent> &lastEvent() const { return m_last; }

private:
    std::string m_attemptId;
    std::int64_t m_firstOffset;
    std::vector<std::string> m_tokens;
    Sha256Stream m_digest;
    std::optional<AttemptEvent> m_last;
};

} // namespace Lavenderpick
