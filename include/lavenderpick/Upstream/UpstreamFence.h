#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Platform/Table.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Lavenderpick {

/// The fence of one upstream in the table service (O4).
class UpstreamFence
{
public:
    /// `token` is unique to this start of the agent; by it a lost response is settled.
    UpstreamFence(Table &table, const Clock &clock, std::string upstream, std::string agent,
                  std::string token);

    /// Raises the fence and returns it; nothing when the store did not show within `limit` that
    /// this process has it.
    std::optional<std::int64_t> raise(Duration limit);

    /// The fence in force; 0 when none was ever raised. Throws `Error` of kind StoreUnavailable.
    std::int64_t read();

private:
    RowKey row() const { return { "upstream", m_upstream }; }

    Table &m_table;
    const Clock &m_clock;
    std::string m_upstream;
    std::string m_agent;
    std::string m_token;
};

} // namespace Lavenderpick
