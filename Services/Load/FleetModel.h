#pragma once

#include "Services/Load/EngineModel.h"
#include "Services/Load/EntryModel.h"
#include "Services/Load/Results.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>

namespace Lavenderpick::Load {

/// Runs an experiment in virtual time: entries with the real policy classes, modelled engines, and
/// load reports that lag.
class FleetModel
{
public:
    explicit FleetModel(const Experiment &experiment);

    void run(Results &results);

    /// Requests a second at which the engines are busy all the time or their memory is full.
    static double capacityRate(const Experiment &experiment);

private:
    struct Engine
    {
        EngineModel model;
        int zone { 0 };
        bool stepping { false };
        bool down { false };
        std::uint64_t incarnation { 1 };
        std::int64_t reports { 0 };
    };
    struct Event
    {
        double at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void at(double seconds, std::function<void()> action);
    void every(double seconds, const std::function<void()> &action);
    TimePoint now() const { return m_clock.now(); }
    EntryModel &entryOf(const ModelRequest &request);

    void scheduleArrival();
    void scheduleFaults();
    void reportLoad(int engine);
    void gossip();

    void handle(std::uint64_t id);
    void wait(ModelRequest &request);
    void serveQueue(EntryModel &entry);
    bool admit(ModelRequest &request);
    void send(ModelRequest &request);
    bool reserveGroup(ModelRequest &request);
    void sendSegment(ModelRequest &request);
    void releaseGroup(ModelRequest &request);
    void submit(int engine, const EngineSequence &sequence);

    void startStep(int engine);
    void finishStep(int engine, std::uint64_t incarnation, const EngineStep &step);
    void onPrefilled(std::uint64_t id);
    void onFinished(std::uint64_t id);
    void fail(std::uint64_t id, const std::string &upstream);
    void refuse(std::uint64_t id, RefusalReason reason);
    void record(const ModelRequest &request, const std::string &refusal, bool completed);

    const Experiment m_experiment;
    EngineModelSettings m_engineSettings;
    ManualClock m_clock;
    double m_seconds { 0 };
    std::uint64_t m_order { 0 };
    std::priority_queue<Event> m_events;
    Arrivals m_arrivals;
    SeededRandom m_random;
    std::deque<Engine> m_engines;
    std::deque<EntryModel> m_entries;
    std::map<std::string, int> m_engineNumbers;
    std::map<std::uint64_t, ModelRequest> m_requests;
    std::uint64_t m_nextRequest { 0 };
    Results *m_results { nullptr };
};

} // namespace Lavenderpick::Load
