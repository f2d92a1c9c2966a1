#pragma once

#include "lavenderpick/Upstream/Engine.h"

#include <set>
#include <string>

namespace Lavenderpick {

/// Finds what an engine holds that nobody claims: left by a process that died, or by a release
/// that got lost. Performs no I/O and is not safe for concurrent use.
class InventoryReconciler
{
public:
    struct Claims
    {
        std::set<std::string> streams {};
        std::set<std::string> handles {};
        /// Segments under way; the engine may list their handles before they are known here.
        std::size_t segmentsInFlight { 0 };
    };

    /// What to release at the engine. `claims` must be taken after `inventory` was requested. The
    /// first inventory of a process is acted on at once, since it shows what a former process left
    /// behind. Later, something must be unclaimed in two inventories in a row, because the engine's
    /// answer may be older than the claim's end.
    EngineInventory releases(const EngineInventory &inventory, const Claims &claims);

private:
    bool m_first { true };
    std::set<std::string> m_unclaimedStreams;
    std::set<std::string> m_unclaimedHandles;
};

} // namespace Lavenderpick
