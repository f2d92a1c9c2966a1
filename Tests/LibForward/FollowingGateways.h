#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Forward/FeedSchedule.h"
#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// The table of upstreams, and gateways that read it through a `FeedSchedule` each. Reports and
/// changes travel between them over a network that loses, delays and reorders messages.
class FollowingGateways
{
public:
    FollowingGateways(std::size_t count, std::uint64_t seed);

    static constexpr Duration limit { Seconds(2) };
    static constexpr Milliseconds tick { 10 };

    void makeReader(std::size_t index, bool isReader = true);
    void setFollower(std::size_t index) { makeReader(index, false); }
    void freeze(std::size_t index, bool frozen) { m_gateways[index]->frozen = frozen; }
    void setSendsNothing(std::size_t index) { m_gateways[index]->sendsNothing = true; }
    void setLoss(double share) { m_loss = share; }
    void setStoreAway(bool away);
    /// Heartbeats leave on time; by default those due during a read are delayed until its end.
    void setReportsDuringReads() { m_reportsDuringReads = true; }
    /// The store turns one gateway away.
    void setTurnedAway(std::size_t index, bool away) { m_gateways[index]->turnedAway = away; }

    /// An upstream registers, or changes its entry.
    void change(const std::string &id = "u");
    /// The store removes an upstream's entry.
    void remove(const std::string &id);
    void writeElsewhere() { ++m_revision; }

    void run(Duration duration);

    /// Whether the gateway sends requests to the upstream.
    bool offers(std::size_t index, const std::string &id) const;

    /// The longest time from a change to its application at a gateway that wasn't frozen.
    Duration longestDelay() const { return m_longestDelay; }
    std::size_t reads() const { return m_reads; }
    bool allCurrent() const;
    std::size_t count() const { return m_gateways.size(); }
    TimePoint now() const { return m_clock.now(); }

private:
    struct Change
    {
        std::int64_t revision { 0 };
        TimePoint madeAt {};
        std::string id;
        bool removed { false };
    };

    struct Gateway
    {
        explicit Gateway(const FeedSchedule &feed)
            : schedule(feed)
        { }

        FeedSchedule schedule;
        UpstreamDirectory upstreams {};
        bool isReader { false };
        bool frozen { false };
        bool sendsNothing { false };
        bool turnedAway { false };
        std::size_t applied { 0 }; ///< Number of changes.
        std::optional<TimePoint> readUntil {};
        TimePoint sentAt {};
        TimePoint steppedAt {};
        TimePoint respondedAt {}; ///< When the store last responded to this gateway.
        Duration wait {};
        TimePoint nextReportAt {};
    };

    struct Message
    {
        TimePoint arrivesAt {};
        std::size_t receiver { 0 };
        std::optional<FeedReport> report {};
        std::optional<TimePoint> respondedAt {};
        std::int64_t previousChange { 0 };
        std::vector<std::int64_t> revisions {};
    };

    void step(TimePoint now);
    std::size_t changesUpTo(std::int64_t revision) const;
    void applyNext(Gateway &gateway, TimePoint now);
    void finishRead(std::size_t index, TimePoint now);
    void report(std::size_t index, TimePoint now);
    void sendToAll(std::size_t sender, const Message &message, TimePoint now);
    void deliver(TimePoint now);
    void handle(Gateway &gateway, const Message &message, TimePoint now);
    void checkDelays(const Gateway &gateway, TimePoint now);

    ManualClock m_clock;
    SeededRandom m_random;
    FeedScheduleSettings m_settings;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::deque<Message> m_messages;
    std::vector<Change> m_changes;
    std::int64_t m_revision { 0 };
    Duration m_longestDelay {};
    double m_loss { 0 };
    std::size_t m_reads { 0 };
    bool m_reportsDuringReads { false };
};

} // namespace Lavenderpick
