#include "lavenderpick/Upstream/InventoryReconciler.h"

namespace Lavenderpick {

namespace {

std::set<std::string> unclaimed(const std::vector<std::string> &held,
                                const std::set<std::string> &claims)
{
    std::set<std::string> rest;
    for (const std::string &name : held) {
        if (!claims.contains(name))
            rest.insert(name);
    }
    return rest;
}

std::vector<std::string> seenTwice(const std::set<std::string> &now,
                                   const std::set<std::string> &before, bool once)
{
    std::vector<std::string> names;
    for (const std::string &name : now) {
        if (once || before.contains(name))
            names.push_back(name);
    }
    return names;
}

} // namespace

EngineInventory InventoryReconciler::releases(const EngineInventory &inventory,
                                              const Claims &claims)
{
    const std::set<std::string> streams = unclaimed(inventory.streams, claims.streams);
    std::set<std::string> handles = unclaimed(inventory.handles, claims.handles);
    // A handle that is new since the last inventory may belong to a segment under way.
    if (claims.segmentsInFlight > 0 && !m_first)
        std::erase_if(handles,
                      [&](const std::string &name) { return !m_unclaimedHandles.contains(name); });
    EngineInventory releases {
        .streams = seenTwice(streams, m_unclaimedStreams, m_first),
        .handles = seenTwice(handles, m_unclaimedHandles, m_first),
    };
    m_first = false;
    m_unclaimedStreams = streams;
    m_unclaimedHandles = handles;
    return releases;
}

} // namespace Lavenderpick
