#pragma once

#include "Services/Entry/CompletionRelay.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

namespace Lavenderpick {

/// Carries a completion's text from the thread that relays it to the thread that writes to the
/// caller. Bounded: a caller that reads slowly slows the relay.
class AnswerChannel final : public CompletionReceiver
{
public:
    struct Progress
    {
        std::string text {}; ///< Text of all tokens since the last call.
        std::optional<CompletionOutcome> outcome {};

        bool isEmpty() const { return text.empty() && !outcome; }
    };

    /// Waits while the channel is full. Returns false when it is closed, or stays full for so long
    /// that the caller counts as gone.
    bool onText(const std::string &text) override;
    bool isOpen() override;

    /// The relay's last word.
    void finish(CompletionOutcome outcome);

    /// What arrived since the last call; waits up to `limit` for it.
    Progress take(Duration limit);

    /// The caller has left.
    void close();

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_text;
    std::optional<CompletionOutcome> m_outcome;
    bool m_open { true };
};

} // namespace Lavenderpick
