#include "Services/Agent/LoadReporter.h"

#include <cmath>

namespace Lavenderpick {

namespace {

// Entries renew every 4 s; three lost renewals end a subscription.
constexpr Seconds subscriptionLife { 12 };
constexpr Seconds shortestInterval { 1 };
constexpr Seconds longestInterval { 4 };

} // namespace

LoadReporter::LoadReporter(Identity identity, UpstreamGate &gate, const Clock &clock, Sender sender)
    : m_identity(std::move(identity))
    , m_gate(gate)
    , m_clock(clock)
    , m_sender(std::move(sender))
{ }

void LoadReporter::receive(const std::string &bytes, const std::string &sender,
                           std::int64_t ownVersion)
{
    const Datagram datagram = decodeDatagram(bytes, m_identity.clusterKey);
    const auto *subscribe = std::get_if<Subscribe>(&datagram);
    if (subscribe == nullptr)
        return;
    const LoadReport report = makeReport(ownVersion);
    const std::lock_guard lock(m_mutex);
    m_subscribers[subscribe->entry] = { .datagramAddress = sender,
                                        .address = subscribe->address,
                                        .documentVersion = subscribe->documentVersion,
                                        .subscribedAt = m_clock.now() };
    sendTo(sender, report);
}

void LoadReporter::tick(std::int64_t ownVersion)
{
    const TimePoint now = m_clock.now();
    LoadReport report = makeReport(ownVersion);
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_subscribers, [&](const auto &item) {
        return item.second.subscribedAt + subscriptionLife < now;
    });
    // The age of the engine's report always changes and is no news by itself.
    LoadReport comparable = m_lastReport;
    comparable.ageMilliseconds = report.ageMilliseconds;
    const Duration interval = comparable == report ? longestInterval : shortestInterval;
    if (now - m_lastSent < interval)
        return;
    m_lastSent = now;
    m_lastReport = report;
    for (const auto &[entry, subscriber] : m_subscribers)
        sendTo(subscriber.datagramAddress, report);
}

std::optional<LoadReporter::DocumentPeer> LoadReporter::latestDocument() const
{
    const std::lock_guard lock(m_mutex);
    std::optional<DocumentPeer> latest;
    for (const auto &[entry, subscriber] : m_subscribers) {
        if (!latest || subscriber.documentVersion > latest->version)
            latest = DocumentPeer { subscriber.address, subscriber.documentVersion };
    }
    return latest;
}

LoadReport LoadReporter::makeReport(std::int64_t ownVersion) const
{
    const UpstreamGate::Load load = m_gate.load();
    LoadReport report {
        .upstream = m_identity.upstream,
        .documentVersion = ownVersion,
        .incarnation = m_identity.incarnation,
        .accepting = load.accepting,
        .models = { load.models.begin(), load.models.end() },
        .kvUsed = load.kvUsed,
        .kvCapacity = load.kvCapacity,
        .running = static_cast<std::int64_t>(load.running),
        .waiting = load.engine.waiting + static_cast<std::int64_t>(load.waiting),
        .prefillBacklog = load.engine.prefillBacklog + load.waitingPrefillTokens,
        .stepMicroseconds = std::llround(load.engine.stepMilliseconds * 1'000),
        .ageMilliseconds = load.engine.ageMilliseconds,
    };
    report.shortBacklog = load.waitingShortTokens;
    return report;
}

// Called with the mutex held: sequence numbers must leave in their order.
void LoadReporter::sendTo(const std::string &address, LoadReport report)
{
    report.sequence = ++m_sequence;
    m_sender(address, encodeDatagram(report, m_identity.clusterKey));
}

} // namespace Lavenderpick
