#pragma once

#include "lavenderpick/Base/Error.h"

#include <atomic>
#include <functional>

namespace Lavenderpick {

/// The faults of a fake store and its counters of calls. Safe for concurrent use, except for
/// `beforeWrite`, which is set before other threads start.
struct FakeFaults
{
    std::atomic<bool> down { false };    ///< Every call throws StoreUnavailable.
    std::atomic<int> lostAnswers { 0 };  ///< So many writes take effect but their answer is lost.
    std::atomic<int> lostRequests { 0 }; ///< So many writes are lost before they take effect.
    std::atomic<int> reads { 0 };
    std::atomic<int> writes { 0 };
    std::function<void()> beforeWrite {}; ///< Runs before each write; lets another writer go first.

    void onRead()
    {
        ++reads;
        throwIfDown();
    }

    void onWrite()
    {
        if (const auto hook = beforeWrite) // A copy, since the hook may unset itself.
            hook();
        ++writes;
        throwIfDown();
        throwIfLost(lostRequests);
    }

    void onWritten() { throwIfLost(lostAnswers); }

private:
    void throwIfDown() const
    {
        if (down)
            throw Error(ErrorKind::StoreUnavailable, "The store is down", "Try again later.");
    }

    static void throwIfLost(std::atomic<int> &remaining)
    {
        if (remaining <= 0)
            return;
        --remaining;
        throw Error(ErrorKind::StoreOutcomeUnknown, "The answer was lost", "Read the row.");
    }
};

} // namespace Lavenderpick
