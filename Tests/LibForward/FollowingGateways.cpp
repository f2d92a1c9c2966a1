#include "FollowingGateways.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace Lavenderpick {

FollowingGateways::FollowingGateways(std::size_t count, std::uint64_t seed)
    : m_random(seed)
    , m_settings(FeedScheduleSettings::forPropagationLimit(limit))
{
    for (std::size_t index = 0; index < count; ++index) {
        m_gateways.push_back(std::make_unique<Gateway>(FeedSchedule(m_settings, m_random)));
        m_gateways.back()->schedule.recordListing(0, m_clock.now());
        m_gateways.back()->respondedAt = m_clock.now();
        m_gateways.back()->upstreams.recordStoreResponse(m_clock.now());
    }
}

void FollowingGateways::makeReader(std::size_t index, bool isReader)
{
    m_gateways[index]->schedule.setRole(isReader ? FeedRole::Reader : FeedRole::Follower);
    m_gateways[index]->isReader = isReader;
}

void FollowingGateways::setStoreAway(bool away)
{
    for (const auto &gateway : m_gateways)
        gateway->turnedAway = away;
}

void FollowingGateways::change(const std::string &id)
{
    m_changes.push_back({ .revision = ++m_revision, .madeAt = m_clock.now(), .id = id });
}

void FollowingGateways::remove(const std::string &id)
{
    m_changes.push_back(
            { .revision = ++m_revision, .madeAt = m_clock.now(), .id = id, .removed = true });
}

void FollowingGateways::run(Duration duration)
{
    for (const TimePoint end = m_clock.now() + duration; m_clock.now() < end;) {
        m_clock.advance(tick);
        step(m_clock.now());
    }
}

bool FollowingGateways::offers(std::size_t index, const std::string &id) const
{
    const auto &ready = m_gateways[index]->upstreams.ready("s");
    return std::any_of(ready.begin(), ready.end(),
                       [&id](const UpstreamRecord *record) { return record->id == id; });
}

bool FollowingGateways::allCurrent() const
{
    return std::all_of(m_gateways.begin(), m_gateways.end(), [this](const auto &gateway) {
        return gateway->frozen || gateway->applied == m_changes.size();
    });
}

void FollowingGateways::step(TimePoint now)
{
    deliver(now);
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
        Gateway &gateway = *m_gateways[index];
        if (gateway.frozen)
            continue;
        finishRead(index, now);
        gateway.upstreams.expire(now, gateway.schedule.completeUpTo(now));
        gateway.steppedAt = now;
        const bool reading = gateway.readUntil.has_value();
        const auto wait = reading ? std::nullopt : gateway.schedule.dueRead(now);
        if (wait) {
            ++m_reads;
            gateway.sentAt = now;
            gateway.wait = *wait;
            gateway.readUntil = now + *wait;
        }
        if (now >= gateway.nextReportAt && (!reading || m_reportsDuringReads))
            report(index, now);
    }
    for (const auto &gateway : m_gateways)
        checkDelays(*gateway, now);
}

std::size_t FollowingGateways::changesUpTo(std::int64_t revision) const
{
    const auto after = std::upper_bound(
            m_changes.begin(), m_changes.end(), revision,
            [](std::int64_t known, const Change &change) { return known < change.revision; });
    return static_cast<std::size_t>(after - m_changes.begin());
}

void FollowingGateways::applyNext(Gateway &gateway, TimePoint now)
{
    const Change &change = m_changes[gateway.applied++];
    if (change.removed)
        gateway.upstreams.remove(change.id, now);
    else
        gateway.upstreams.put({ .id = change.id, .service = "s" });
}

void FollowingGateways::finishRead(std::size_t index, TimePoint now)
{
    Gateway &gateway = *m_gateways[index];
    if (!gateway.readUntil)
        return;
    if (gateway.turnedAway) {
        gateway.readUntil.reset();
        gateway.schedule.recordFailure(now);
        gateway.upstreams.recordStoreFailure();
        return;
    }
    const std::size_t known = changesUpTo(gateway.schedule.readTo());
    const bool hasChanges = known < m_changes.size();
    if (!hasChanges && now < *gateway.readUntil)
        return;
    gateway.readUntil.reset();
    gateway.respondedAt = std::max(gateway.sentAt, gateway.steppedAt);
    gateway.upstreams.recordStoreResponse(gateway.respondedAt);
    gateway.schedule.resetFailures();
    Message message { .previousChange = gateway.schedule.newestChange() };
    for (std::size_t change = known; change < m_changes.size(); ++change)
        message.revisions.push_back(m_changes[change].revision);
    gateway.schedule.recordRead(m_revision, hasChanges ? m_changes.back().revision : 0,
                                gateway.sentAt, gateway.wait, now);
    while (gateway.applied < m_changes.size())
        applyNext(gateway, now);
    if (gateway.isReader && hasChanges)
        sendToAll(index, message, now);
}

void FollowingGateways::report(std::size_t index, TimePoint now)
{
    Gateway &gateway = *m_gateways[index];
    gateway.nextReportAt = now + Milliseconds(gateway.isReader ? 250 : 500);
    Message message;
    if (gateway.isReader)
        message.report = gateway.schedule.report(now);
    if (message.report || now - gateway.respondedAt < StoreAvailability::shortestExpiry)
        sendToAll(index, message, now);
}

void FollowingGateways::sendToAll(std::size_t sender, const Message &message, TimePoint now)
{
    for (std::size_t receiver = 0; receiver < m_gateways.size(); ++receiver) {
        if (receiver == sender || m_gateways[sender]->sendsNothing || m_random.unit() < m_loss)
            continue;
        Message copy = message;
        copy.receiver = receiver;
        copy.respondedAt = m_gateways[sender]->respondedAt;
        copy.arrivesAt = now + Milliseconds(1 + m_random.below(60));
        m_messages.push_back(copy);
    }
}

void FollowingGateways::deliver(TimePoint now)
{
    std::deque<Message> later;
    for (const Message &message : m_messages) {
        Gateway &gateway = *m_gateways[message.receiver];
        if (message.arrivesAt > now || gateway.frozen)
            later.push_back(message);
        else
            handle(gateway, message, now);
    }
    m_messages = std::move(later);
}

void FollowingGateways::handle(Gateway &gateway, const Message &message, TimePoint now)
{
    if (message.respondedAt)
        gateway.upstreams.recordStoreResponse(*message.respondedAt);
    if (message.report) {
        if (gateway.schedule.recordPeerReport(*message.report, now))
            gateway.schedule.resetFailures();
        return;
    }
    if (message.revisions.empty())
        return;
    if (!gateway.schedule.canApplyAfter(message.previousChange)) {
        gateway.schedule.recordGap(message.revisions.back(), now);
        return;
    }
    for (const std::int64_t revision : message.revisions) {
        if (!gateway.schedule.applyPeerChange(revision))
            continue;
        // Changes are applied one by one, none left out.
        BOOST_REQUIRE_EQUAL(changesUpTo(revision), gateway.applied + 1);
        applyNext(gateway, now);
    }
}

void FollowingGateways::checkDelays(const Gateway &gateway, TimePoint now)
{
    // `readTo` must never claim a change that was not applied.
    BOOST_REQUIRE_LE(changesUpTo(gateway.schedule.readTo()), gateway.applied);
    if (gateway.frozen || gateway.applied == m_changes.size())
        return;
    m_longestDelay = std::max(m_longestDelay, now - m_changes[gateway.applied].madeAt);
}

} // namespace Lavenderpick
