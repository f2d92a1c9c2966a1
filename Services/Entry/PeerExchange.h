#pragma once

#include "Services/Entry/AdmissionControl.h"
#include "Services/Entry/AgentDirectory.h"
#include "Services/Entry/DocumentSync.h"
#include "Services/Entry/EntryContext.h"
#include "lavenderpick/Runtime/DatagramSocket.h"

namespace Lavenderpick {

/// The datagrams of an entry: subscriptions to agents, their load reports, gossip with other
/// entries (section 5.7). Runs on the event loop.
class PeerExchange
{
public:
    PeerExchange(const EntryContext &context, EventLoop &loop, AgentDirectory &directory,
                 AdmissionControl &admission, DocumentSync &documents);

    /// M2: sends a subscription to each watched agent.
    void subscribe();

    /// M5: sends gossip to a random peer, if it is time.
    void gossip();

private:
    void receive(const std::string &bytes, const std::string &sender);
    void receiveReport(const LoadReport &report);
    void receiveGossip(const Gossip &gossip, const std::string &sender);
    Gossip ownGossip() const;
    void send(const std::string &address, const Datagram &datagram);

    EntryContext m_context;
    EventLoop &m_loop;
    AgentDirectory &m_directory;
    AdmissionControl &m_admission;
    DocumentSync &m_documents;
    DatagramSocket m_socket;
};

} // namespace Lavenderpick
