#include "Services/Agent/DocumentFollower.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Log.h"

namespace Lavenderpick {

DocumentFollower::DocumentFollower(DocumentReplica &replica, UpstreamGate &gate,
                                   std::string upstream, const MessageAuthenticator &authenticator,
                                   const Clock &clock)
    : m_replica(replica)
    , m_gate(gate)
    , m_upstream(std::move(upstream))
    , m_authenticator(authenticator)
    , m_clock(clock)
{ }

void DocumentFollower::catchUp(const std::string &address, std::int64_t peerVersion)
{
    try {
        // Version 0 needs no fetch: the cluster has no document yet.
        if (peerVersion > m_replica.version() && !fetch(address, m_replica.version()))
            fetch(address, 0);
        if (m_replica.version() >= peerVersion)
            m_replica.markPeersAsked();
        applyPlan();
        m_gate.setReady(m_replica.isReady());
    } catch (const Error &error) {
        log(LogLevel::Warning, "document", error.what(), { { "peer", address } });
    }
}

// Returns false when the peer's changes don't follow the present version.
bool DocumentFollower::fetch(const std::string &address, std::int64_t since)
{
    const std::string path = "/internal/document?since=" + std::to_string(since);
    HttpClient client(address, m_clock);
    const HttpResponse response = client.send(
            { .method = "GET",
              .path = path,
              .headers = { { authenticationHeader, m_authenticator.sign("GET", path, "") },
                           { documentVersionHeader, std::to_string(m_replica.version()) } } });
    if (response.status != 200)
        throw Error(ErrorKind::UpstreamFailed,
                    address + " answered " + path + " with status "
                            + std::to_string(response.status),
                    "See the log of that entry.");
    const OfferResult result =
            m_replica.offerMessage(parseJson(response.body, "document"), DocumentSource::Peer);
    return result != OfferResult::Gap;
}

void DocumentFollower::applyPlan()
{
    const auto document = m_replica.current();
    const auto plan = document->plan(m_upstream);
    // Without an entry the upstream serves; the removal has the section's version.
    const std::int64_t epoch =
            plan ? document->planEpoch(m_upstream) : document->section(SectionName::plans).version;
    m_gate.applyPlan(plan.value_or(PlanEntry {}), epoch);
}

} // namespace Lavenderpick
