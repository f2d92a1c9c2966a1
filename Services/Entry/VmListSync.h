#pragma once

#include "Services/Entry/AgentDirectory.h"
#include "Services/Entry/PeerClient.h"
#include "lavenderpick/Platform/VmList.h"

#include <string>
#include <vector>

namespace Lavenderpick {

/// Keeps the VM list up to date: from the platform, or from peers when an entry starts while the
/// platform is down (M1).
class VmListSync
{
public:
    VmListSync(AgentDirectory &directory, VmList &platform, PeerClient &peers);

    /// Reads the changes; asks `peers` while this entry has no list at all. Does not throw.
    void poll(const std::vector<std::string> &peers);

private:
    bool readPlatform();
    void askPeers(const std::vector<std::string> &peers);

    AgentDirectory &m_directory;
    VmList &m_platform;
    PeerClient &m_peers;
};

} // namespace Lavenderpick
