#pragma once

#include "Services/Load/Results.h"
#include "lavenderpick/Http/HttpClient.h"

#include <atomic>

namespace Lavenderpick::Load {

/// Sends an experiment's requests to running entries over the caller interface (5.9). Arrivals do
/// not wait for responses; a request that finds every thread busy is sent late, and its delay
/// counts, since times start at the intended send time.
class HttpLoad
{
public:
    explicit HttpLoad(Results &results);

    void run();

private:
    void work();
    std::optional<Arrival> nextArrival();
    void send(const Arrival &arrival);
    TimePoint dueTime(double seconds) const;
    double intendedSeconds(TimePoint from, TimePoint to) const;

    const Experiment &m_experiment;
    Results &m_results;
    SystemClock m_clock;
    HttpClientPool m_clients;
    std::mutex m_mutex;
    Arrivals m_arrivals;
    std::atomic<std::size_t> m_turn { 0 };
    TimePoint m_start {};
};

} // namespace Lavenderpick::Load
