#include "lavenderpick/Upstream/UpstreamFence.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Records/SettledWrite.h"

namespace Lavenderpick {

namespace {

constexpr int maximumRounds = 5;

} // namespace

UpstreamFence::UpstreamFence(Table &table, const Clock &clock, std::string upstream,
                             std::string agent, std::string token)
    : m_table(table)
    , m_clock(clock)
    , m_upstream(std::move(upstream))
    , m_agent(std::move(agent))
    , m_token(std::move(token))
{ }

std::optional<std::int64_t> UpstreamFence::raise(Duration limit)
{
    const TimePoint deadline = m_clock.now() + limit;
    // A conflict means that another agent raised the fence in between; ours must be above it.
    for (int round = 0; round < maximumRounds && m_clock.now() < deadline; ++round) {
        std::optional<Row> present;
        try {
            present = m_table.read(row());
        } catch (const Error &) {
            return std::nullopt;
        }
        const std::int64_t fence = present ? requireInteger(present->value, "fence") + 1 : 1;
        const nlohmann::json value { { "fence", fence },
                                     { "agent", m_agent },
                                     { "token", m_token } };
        const SettledWrite write({ { .row = row(),
                                     .expectedVersion = present ? present->version : 0,
                                     .value = value } });
        const WriteOutcome outcome = settle(m_table, write, m_clock, deadline);
        if (outcome.state == WriteState::Applied)
            return fence;
        if (outcome.state != WriteState::Conflict)
            return std::nullopt;
    }
    return std::nullopt;
}

std::int64_t UpstreamFence::read()
{
    const std::optional<Row> present = m_table.read(row());
    return present ? requireInteger(present->value, "fence") : 0;
}

} // namespace Lavenderpick
