#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Lavenderpick {

/// The era of the store's history, learned from its responses and from peers. Not safe for
/// concurrent use.
///
/// The era rises by one each time that the store comes back from an older copy. A connection or a
/// process that was paused may still deliver a response of an earlier era.
class StoreEra
{
public:
    /// Called with the former and the new era, but not for the first era that is learned.
    using ChangeHandler = std::function<void(std::int64_t from, std::int64_t to)>;

    void setChangeHandler(ChangeHandler handler) { m_changeHandler = std::move(handler); }

    /// Records the era that a response names; null if it names none, which means the current one,
    /// as does one that can't be parsed. Returns the era of the response, or nothing if that era
    /// has passed.
    std::optional<std::int64_t> recordResponse(const std::string *era);

    /// Records the era that a peer knows.
    void recordPeer(std::int64_t era);

    /// Zero until an era is learned.
    std::int64_t current() const { return m_current.value_or(0); }

private:
    void advance(std::int64_t era);

    std::optional<std::int64_t> m_current;
    ChangeHandler m_changeHandler;
};

} // namespace Lavenderpick
