#pragma once

#include "Services/Agent/UpstreamGate.h"
#include "lavenderpick/Document/DocumentReplica.h"
#include "lavenderpick/Http/HttpClient.h"
#include "lavenderpick/Http/MessageAuthenticator.h"

#include <string>

namespace Lavenderpick {

/// Brings the agent's document up to that of an entry (D5) and puts its plan into force.
class DocumentFollower
{
public:
    DocumentFollower(DocumentReplica &replica, UpstreamGate &gate, std::string upstream,
                     const MessageAuthenticator &authenticator, const Clock &clock);

    /// Fetches what is missing from an entry that has `peerVersion`. Blocks; failures are logged.
    void catchUp(const std::string &address, std::int64_t peerVersion);

private:
    bool fetch(const std::string &address, std::int64_t since);
    void applyPlan();

    DocumentReplica &m_replica;
    UpstreamGate &m_gate;
    std::string m_upstream;
    const MessageAuthenticator &m_authenticator;
    const Clock &m_clock;
};

} // namespace Lavenderpick
