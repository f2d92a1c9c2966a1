#include "Services/Entry/PeerExchange.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Membership/ReportInterval.h"

namespace Lavenderpick {

namespace {

constexpr const char *datagramsName = "lavenderpick_datagrams_total";

// A version that the store never confirmed counts as this old.
constexpr Duration unconfirmedAge = std::chrono::hours(24);

} // namespace

PeerExchange::PeerExchange(const EntryContext &context, EventLoop &loop, AgentDirectory &directory,
                           AdmissionControl &admission, DocumentSync &documents)
    : m_context(context)
    , m_loop(loop)
    , m_directory(directory)
    , m_admission(admission)
    , m_documents(documents)
    , m_socket(loop, context.settings.host, context.settings.datagramPort,
               [this](const std::string &bytes, const std::string &sender) {
                   receive(bytes, sender);
               })
{ }

void PeerExchange::subscribe()
{
    const std::vector<std::string> addresses = m_directory.watchedDatagramAddresses();
    const Subscribe message {
        .entry = m_context.settings.name,
        .address = m_context.settings.address(),
        .documentVersion = m_context.replica.version(),
        .reportIntervalMilliseconds = toMilliseconds(reportIntervalFor(addresses.size())),
    };
    for (const std::string &address : addresses)
        send(address, message);
}

void PeerExchange::gossip()
{
    const auto peer = m_directory.nextGossipPeer();
    if (!peer)
        return;
    Gossip message = ownGossip();
    m_admission.fillGossip(message);
    send(peer->datagramAddress, message);
}

void PeerExchange::receive(const std::string &bytes, const std::string &sender)
{
    Datagram datagram;
    try {
        datagram = decodeDatagram(bytes, m_context.settings.clusterKey);
    } catch (const Error &error) {
        m_context.metrics.increment(datagramsName, "kind=\"invalid\"");
        log(LogLevel::Debug, "datagram", error.what(), { { "peer", sender } });
        return;
    }
    if (const auto *report = std::get_if<LoadReport>(&datagram))
        receiveReport(*report);
    else if (const auto *gossip = std::get_if<Gossip>(&datagram))
        receiveGossip(*gossip, sender);
}

void PeerExchange::receiveReport(const LoadReport &report)
{
    const bool accepted = m_directory.observeReport(report);
    m_context.metrics.increment(datagramsName,
                                accepted ? "kind=\"report\"" : "kind=\"late_report\"");
    // An agent's document lacks sections, so what it knows is read from the store instead.
    if (m_documents.isCallForUpdate(report.documentVersion))
        m_loop.postToWorker([this] { m_documents.poll({}); });
}

void PeerExchange::receiveGossip(const Gossip &gossip, const std::string &sender)
{
    m_context.metrics.increment(datagramsName, "kind=\"gossip\"");
    if (gossip.answer) {
        m_admission.mergeGossip(gossip, nullptr);
    } else {
        Gossip answer = ownGossip();
        answer.answer = true;
        m_admission.mergeGossip(gossip, &answer);
        send(sender, answer);
    }
    const Milliseconds age(gossip.confirmationAgeMilliseconds);
    if (age < unconfirmedAge)
        m_context.replica.confirmByPeer(gossip.documentVersion, age);
    if (m_documents.isCallForUpdate(gossip.documentVersion))
        m_loop.postToWorker([this, address = gossip.address] { m_documents.fetchFrom(address); });
}

Gossip PeerExchange::ownGossip() const
{
    return {
        .entry = m_context.settings.name,
        .address = m_context.settings.address(),
        .documentVersion = m_context.replica.version(),
        .confirmationAgeMilliseconds =
                toMilliseconds(m_context.replica.confirmationAge().value_or(unconfirmedAge)),
    };
}

void PeerExchange::send(const std::string &address, const Datagram &datagram)
{
    const std::string bytes = encodeDatagram(datagram, m_context.settings.clusterKey);
    m_context.metrics.increment("lavenderpick_datagram_bytes_total", "direction=\"sent\"",
                                bytes.size());
    m_socket.send(address, bytes);
}

} // namespace Lavenderpick
