#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Forward/RequestDialect.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderpick {

struct GatewayState;

/// Calls to engines' control interfaces. Each ends within a bounded time, also after the request
/// that caused it.
class EngineCalls
{
public:
    struct Answer
    {
        bool accepted { false }; ///< The engine answered with success.
        std::string body {};     ///< Empty unless accepted.

        bool operator==(const Answer &) const = default;
    };
    using ResultCallback = std::function<void(const Answer &answer)>;

    explicit EngineCalls(GatewayState &state);
    ~EngineCalls();

    /// `done` may be empty; it is called once.
    void send(const std::string &upstream, const std::string &address, const EngineCall &call,
              ResultCallback done);

    /// Fails the calls that were not answered in time.
    void checkTimeouts(TimePoint now);

    std::size_t size() const { return m_calls.size(); }

private:
    class Call;

    GatewayState &m_state;
    std::vector<std::shared_ptr<Call>> m_calls;
};

} // namespace Lavenderpick
