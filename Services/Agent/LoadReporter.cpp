#include "Services/Agent/LoadReporter.h"

#include "lavenderpick/Membership/ReportInterval.h"

#include <algorithm>
#include <cmath>

namespace Lavenderpick {

namespace {

// Entries renew every 4 s; three lost renewals end a subscription.
constexpr Seconds subscriptionLife { 12 };

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
    Subscriber &subscriber = m_subscribers[subscribe->entry];
    // An entry that restarted knows nothing yet; a renewal changes nothing that is due.
    const bool isNew = subscriber.datagramAddress != sender;
    subscriber.datagramAddress = sender;
    subscriber.address = subscribe->address;
    subscriber.documentVersion = subscribe->documentVersion;
    subscriber.shortestInterval = Milliseconds(subscribe->reportIntervalMilliseconds);
    subscriber.subscribedAt = m_clock.now();
    if (isNew || isDue(subscriber, report, m_clock.now()))
        sendTo(subscriber, report);
}

void LoadReporter::tick(std::int64_t ownVersion)
{
    const TimePoint now = m_clock.now();
    const LoadReport report = makeReport(ownVersion);
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_subscribers, [&](const auto &item) {
        return item.second.subscribedAt + subscriptionLife < now;
    });
    for (auto &[entry, subscriber] : m_subscribers) {
        if (isDue(subscriber, report, now))
            sendTo(subscriber, report);
    }
}

bool LoadReporter::isDue(const Subscriber &subscriber, const LoadReport &report, TimePoint now)
{
    // The age of the engine's report always changes and is no news by itself.
    LoadReport comparable = subscriber.lastReport;
    comparable.ageMilliseconds = report.ageMilliseconds;
    // Entries drop what they must not use at once, such as a draining upstream.
    if (comparable.accepting != report.accepting)
        return true;
    const Duration heartbeat = std::max(reportHeartbeatInterval, subscriber.shortestInterval);
    return now - subscriber.reportedAt
            >= (comparable == report ? heartbeat : subscriber.shortestInterval);
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
        .kvTokensInUse = load.kvTokensInUse,
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
void LoadReporter::sendTo(Subscriber &subscriber, LoadReport report)
{
    subscriber.reportedAt = m_clock.now();
    subscriber.lastReport = report;
    report.sequence = ++m_sequence;
    m_sender(subscriber.datagramAddress, encodeDatagram(report, m_identity.clusterKey));
}

} // namespace Lavenderpick
