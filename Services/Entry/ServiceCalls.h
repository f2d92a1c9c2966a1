#pragma once

#include "Services/Entry/AgentDirectory.h"
#include "Services/Entry/PeerClient.h"
#include "lavenderpick/Base/Problem.h"
#include "lavenderpick/Records/CallRecords.h"

#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// A caller's call to a plain service.
struct ServiceCall
{
    std::string requestId;
    std::string customer;
    std::string key {}; ///< Idempotency key; required unless the service is repeatable.
    std::string service;
    std::string method;
    std::string path; ///< With the query.
    std::string body;
    bool repeatable { false };
    TimePoint deadline {};

    /// By which a repeat with the same key is recognised as the same call.
    std::string digest() const;
};

/// Sends calls to the agents of plain services: non-idempotent ones at most once (section 5.2),
/// repeatable ones again elsewhere after a failure. Safe for concurrent use; calls block.
class ServiceCalls
{
public:
    ServiceCalls(const EntryContext &context, PeerClient &peers, AgentDirectory &directory,
                 CallRecords &records);

    /// The service's answer. Throws `ProblemError` that says whether the call ran.
    CallReply call(const ServiceCall &call);

private:
    struct Sending;

    CallReply callOnce(const ServiceCall &call);
    CallReply callRepeatable(const ServiceCall &call);
    std::optional<CallAnswer> sendToAnyAgent(const CallRequest &request, Sending &sending);
    std::optional<CallAnswer> sendTo(const SelectedUpstream &target, const CallRequest &request,
                                     Sending &sending);
    CallRequest makeRequest(const ServiceCall &call) const;

    EntryContext m_context;
    PeerClient &m_peers;
    AgentDirectory &m_directory;
    CallRecords &m_records;
};

} // namespace Lavenderpick
