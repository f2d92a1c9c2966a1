#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Upstream/Engine.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Lavenderpick {

/// What an engine shall run, as the document says.
struct DesiredEngineState
{
    std::map<std::string, std::string> models {};   ///< Versions by name.
    std::map<std::string, std::string> adapters {}; ///< Versions by name.
    std::string role {};                            ///< Empty: any.
    std::int64_t epoch { 0 };                       ///< Document version that last changed it.

    bool operator==(const DesiredEngineState &) const = default;
};

/// Turns desired and observed state into orders (O5). Performs no I/O and is not safe for
/// concurrent use.
///
/// An engine that ignores fences may be changed by a former agent that was paused; the difference
/// shows in the next observation and is ordered again.
class OrderController
{
public:
    /// The fence that this process raised at its start.
    void setFence(std::int64_t fence) { m_fence = fence; }
    std::int64_t fence() const { return m_fence; }

    /// A fence seen in the store or reported by the engine. A higher one than ours means that
    /// another agent has taken over, and this process never orders again.
    void observeFence(std::int64_t fence, TimePoint now);
    bool isSuperseded() const { return m_superseded; }

    /// A desired state of an older epoch is ignored.
    void setDesired(const DesiredEngineState &desired);

    /// Whether the fence must be read from the store before anything is sent to the engine: a
    /// process may have been paused since it last read it.
    bool mustCheckFence(TimePoint now) const;

    /// The orders that are due; none without a fence or when superseded. An order is not repeated
    /// within `repeatAfter`, because loading takes time.
    std::vector<EngineOrder> ordersFor(const EngineState &observed, TimePoint now);

    /// Whether the observed state is the desired one.
    bool isReached(const EngineState &observed) const;

    /// Ends the wait before an order is repeated, when it was not delivered.
    void orderFailed(const EngineOrder &order);

    /// A check older than this does not count (O5).
    static constexpr Duration longestPause = Seconds(2);
    static constexpr Duration repeatAfter = Seconds(30);

private:
    std::vector<EngineOrder> differences(const EngineState &observed) const;
    EngineOrder makeOrder(const std::string &kind, const std::string &name,
                          const std::string &version) const;
    void addDifferences(const std::map<std::string, std::string> &desired,
                        const std::map<std::string, std::string> &observed,
                        const std::string &thing, std::vector<EngineOrder> &orders) const;

    std::int64_t m_fence { 0 };
    bool m_superseded { false };
    bool m_hasDesired { false };
    DesiredEngineState m_desired;
    TimePoint m_fenceCheckedAt {};
    std::map<std::string, TimePoint> m_sentAt;
};

} // namespace Lavenderpick
