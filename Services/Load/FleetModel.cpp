#include "Services/Load/FleetModel.h"

#include <algorithm>
#include <cmath>

namespace Lavenderpick::Load {

namespace {

EngineModelSettings engineSettings(const Experiment &experiment)
{
    EngineModelSettings settings;
    settings.kvTokenCount = experiment.fleet.kvTokenCount;
    settings.shortFirst = experiment.uses("short_first");
    return settings;
}

double rateOf(const Experiment &experiment)
{
    return experiment.rate > 0 ? experiment.rate
                               : experiment.load * FleetModel::capacityRate(experiment);
}

} // namespace

double FleetModel::capacityRate(const Experiment &experiment)
{
    Experiment sample = experiment;
    sample.phases.clear();
    sample.seconds = 50'000; // At one request a second.
    Arrivals arrivals(sample, 1);
    const EngineModelSettings settings = engineSettings(experiment);
    double work = 0;
    double memory = 0; // KV tokens, multiplied by the seconds for which they are held.
    double requests = 0;
    while (const std::optional<Arrival> arrival = arrivals.next()) {
        const double seconds = EngineModel::workSeconds(settings, arrival->promptTokens);
        const auto output = static_cast<double>(arrival->outputTokens);
        work += seconds;
        memory += static_cast<double>(arrival->promptTokens + arrival->outputTokens)
                * (seconds + 2 * settings.stepSeconds * output);
        ++requests;
    }
    const double byWork = requests / work;
    const double byMemory = requests * static_cast<double>(settings.kvTokenCount) / memory;
    return experiment.fleet.runners * std::min(byWork, byMemory);
}

FleetModel::FleetModel(const Experiment &experiment)
    : m_experiment(experiment)
    , m_engineSettings(engineSettings(experiment))
    , m_arrivals(m_experiment, rateOf(experiment))
    , m_random(experiment.seed + 1)
{
    for (int number = 0; number < experiment.fleet.runners; ++number) {
        m_engines.push_back({ .model = EngineModel(m_engineSettings),
                              .zone = number % experiment.fleet.zones });
        m_engineNumbers[engineName(number)] = number;
    }
    for (int number = 0; number < experiment.fleet.entries; ++number)
        m_entries.emplace_back(m_experiment, number);
}

void FleetModel::at(double seconds, std::function<void()> action)
{
    m_events.push({ seconds, ++m_order, std::move(action) });
}

void FleetModel::every(double seconds, const std::function<void()> &action)
{
    at(m_seconds + seconds, [this, seconds, action] {
        action();
        if (m_seconds < m_experiment.seconds + 60 || !m_requests.empty())
            every(seconds, action);
    });
}

EntryModel &FleetModel::entryOf(const ModelRequest &request)
{
    return m_entries[static_cast<std::size_t>(request.entry)];
}

void FleetModel::run(Results &results)
{
    m_results = &results;
    results.setCapacity(m_experiment.fleet.runners);
    for (int engine = 0; engine < m_experiment.fleet.runners; ++engine) {
        reportLoad(engine);
        const double offset = m_experiment.fleet.reportSeconds * m_random.unit();
        at(offset, [this, engine] {
            every(m_experiment.fleet.reportSeconds, [this, engine] { reportLoad(engine); });
        });
    }
    every(1, [this] { gossip(); });
    every(0.05, [this] {
        for (EntryModel &entry : m_entries)
            serveQueue(entry);
    });
    scheduleFaults();
    scheduleArrival();
    // Requests still open long after the last arrival are stuck; they count as failed.
    const double end = m_experiment.seconds + 3'600;
    while (!m_events.empty() && m_events.top().at < end) {
        const Event event = m_events.top();
        m_events.pop();
        m_clock.advance(std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(event.at - m_seconds)));
        m_seconds = event.at;
        event.action();
    }
    for (const auto &[id, request] : m_requests)
        record(request, "", false);
}

void FleetModel::scheduleArrival()
{
    const std::optional<Arrival> arrival = m_arrivals.next();
    if (!arrival)
        return;
    at(arrival->atSeconds, [this, arrival = *arrival] {
        ModelRequest request { .id = ++m_nextRequest, .arrival = arrival };
        request.entry = static_cast<int>(m_random.below(m_entries.size()));
        request.idleFirstToken = EngineModel::idlePrefillSeconds({}, arrival.promptTokens, 0);
        request.idleResponse = request.idleFirstToken
                + EngineModelSettings {}.stepSeconds * static_cast<double>(arrival.outputTokens);
        request.deadlineAt = m_seconds + m_experiment.deadlineFloorSeconds
                + m_experiment.deadlineFactor * request.idleResponse;
        for (std::int64_t tokens = 512; tokens <= arrival.prefixTokens; tokens += tokens / 2)
            request.prefix.push_back(
                    { static_cast<std::uint64_t>(arrival.customer * 100'000 + tokens), tokens });
        m_requests.emplace(request.id, std::move(request));
        handle(m_nextRequest);
        scheduleArrival();
    });
}

void FleetModel::scheduleFaults()
{
    for (const ZoneFault &fault : m_experiment.faults) {
        at(fault.atSeconds, [this, fault] {
            for (std::size_t number = 0; number < m_engines.size(); ++number) {
                Engine &engine = m_engines[number];
                if (engine.zone != fault.zone)
                    continue;
                engine.down = true;
                ++engine.incarnation;
                engine.reports = 0;
                for (const std::uint64_t id : engine.model.crash())
                    fail(id, engineName(static_cast<int>(number)));
            }
        });
        at(fault.atSeconds + fault.forSeconds, [this, fault] {
            for (Engine &engine : m_engines)
                engine.down = engine.down && engine.zone != fault.zone;
        });
    }
}

void FleetModel::reportLoad(int number)
{
    Engine &engine = m_engines[static_cast<std::size_t>(number)];
    if (engine.down)
        return;
    const LoadReport report {
        .upstream = engineName(number),
        .sequence = ++engine.reports,
        .incarnation = static_cast<std::int64_t>(engine.incarnation),
        .models = { "m" },
        .kvTokensInUse = engine.model.kvTokensInUse(),
        .kvCapacity = m_engineSettings.kvTokenCount,
        .running = engine.model.running(),
        .waiting = engine.model.waiting(),
        .prefillBacklog = engine.model.backlog(false),
        .shortBacklog = engine.model.backlog(true),
        .stepMicroseconds = std::llround(engine.model.lastStepSeconds() * 1e6),
        .ageMilliseconds = std::llround(m_experiment.fleet.reportLagSeconds * 1e3),
    };
    at(m_seconds + m_experiment.fleet.reportLagSeconds, [this, report] {
        for (EntryModel &entry : m_entries)
            entry.observeReport(report, now());
    });
}

void FleetModel::gossip()
{
    for (EntryModel &entry : m_entries) {
        entry.tick(now());
        EntryModel &peer = m_entries[m_random.below(m_entries.size())];
        if (&peer == &entry)
            continue;
        Gossip question;
        Gossip answer;
        entry.budgets().fillGossip(question, now());
        peer.budgets().mergeGossip(question, &answer, now());
        entry.budgets().mergeGossip(answer, nullptr, now());
    }
}

void FleetModel::startStep(int number)
{
    Engine &engine = m_engines[static_cast<std::size_t>(number)];
    if (engine.stepping || engine.down || !engine.model.hasWork())
        return;
    engine.stepping = true;
    const EngineStep step = engine.model.step();
    at(m_seconds + step.seconds, [this, number, incarnation = engine.incarnation, step] {
        finishStep(number, incarnation, step);
    });
}

void FleetModel::finishStep(int number, std::uint64_t incarnation, const EngineStep &step)
{
    Engine &engine = m_engines[static_cast<std::size_t>(number)];
    engine.stepping = false;
    if (engine.incarnation == incarnation) {
        m_results->addGap(m_seconds, step.seconds, step.decoded);
        for (const std::uint64_t id : step.firstTokens)
            onPrefilled(id);
        for (const std::uint64_t id : step.finished)
            onFinished(id);
    }
    startStep(number);
}

} // namespace Lavenderpick::Load
