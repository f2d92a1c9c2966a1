#pragma once

#include "lavenderpick/Base/Error.h"

#include <functional>
#include <mutex>

namespace Lavenderpick {

/// The faults of a fake store and its counters of calls. Safe for concurrent use.
class FakeFaults
{
public:
    /// Every call throws StoreUnavailable until it is set back.
    void setDown(bool down) { set(m_down, down); }

    /// The next `count` writes take effect but throw StoreOutcomeUnknown.
    void loseAnswers(int count) { set(m_lostAnswers, count); }

    /// The next `count` writes throw StoreOutcomeUnknown without taking effect.
    void loseRequests(int count) { set(m_lostRequests, count); }

    /// Runs before each write, outside any lock, so that a test can let another writer go first.
    void setBeforeWrite(std::function<void()> hook) { set(m_beforeWrite, std::move(hook)); }

    int reads() const { return read(m_reads); }
    int writes() const { return read(m_writes); }

    void onRead()
    {
        const std::lock_guard lock(m_mutex);
        ++m_reads;
        throwIfDown();
    }

    void onWrite()
    {
        if (const auto hook = read(m_beforeWrite))
            hook();
        const std::lock_guard lock(m_mutex);
        ++m_writes;
        throwIfDown();
        if (m_lostRequests > 0) {
            --m_lostRequests;
            throwUnknown();
        }
    }

    void onWritten()
    {
        const std::lock_guard lock(m_mutex);
        if (m_lostAnswers == 0)
            return;
        --m_lostAnswers;
        throwUnknown();
    }

private:
    template <typename Value>
    Value read(const Value &value) const
    {
        const std::lock_guard lock(m_mutex);
        return value;
    }

    template <typename Value>
    void set(Value &target, Value value)
    {
        const std::lock_guard lock(m_mutex);
        target = std::move(value);
    }

    void throwIfDown() const
    {
        if (m_down)
            throw Error(ErrorKind::StoreUnavailable, "The store is down", "Try again later.");
    }

    [[noreturn]] static void throwUnknown()
    {
        throw Error(ErrorKind::StoreOutcomeUnknown, "The answer was lost", "Read the row.");
    }

    mutable std::mutex m_mutex;
    bool m_down { false };
    int m_lostAnswers { 0 };
    int m_lostRequests { 0 };
    int m_reads { 0 };
    int m_writes { 0 };
    std::function<void()> m_beforeWrite {};
};

} // namespace Lavenderpick
