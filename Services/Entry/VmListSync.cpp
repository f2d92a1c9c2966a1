#include "Services/Entry/VmListSync.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Log.h"

namespace Lavenderpick {

namespace {

constexpr Seconds fetchTimeout { 2 };
constexpr int okStatus = 200;

} // namespace

VmListSync::VmListSync(AgentDirectory &directory, VmList &platform, PeerClient &peers)
    : m_directory(directory)
    , m_platform(platform)
    , m_peers(peers)
{ }

void VmListSync::poll(const std::vector<std::string> &peers)
{
    if (!readPlatform() && m_directory.vmListVersion() == 0)
        askPeers(peers);
}

bool VmListSync::readPlatform()
{
    try {
        m_directory.applyVmList(m_platform.changesSince(m_directory.vmListVersion()));
        return true;
    } catch (const Error &error) {
        log(LogLevel::Warning, "membership", error.what());
        return false;
    }
}

void VmListSync::askPeers(const std::vector<std::string> &peers)
{
    // The directory ignores a list that is older than the one it has, so the order is free.
    for (const std::string &address : peers) {
        try {
            const HttpResponse response = m_peers.send(
                    address, { .method = "GET", .path = "/internal/vms", .timeout = fetchTimeout });
            if (response.status != okStatus)
                continue;
            const VmChanges list = VmChanges::parse(parseJson(response.body, "VM list"));
            if (list.version > 0)
                m_directory.applyVmList(list);
        } catch (const Error &error) {
            log(LogLevel::Info, "membership", error.what(), { { "peer", address } });
        }
    }
}

} // namespace Lavenderpick
