#include "Services/Load/Experiment.h"

#include "lavenderpick/Settings/SettingsReader.h"

#include <algorithm>

namespace Lavenderpick::Load {

const std::vector<std::string> experimentMechanisms {
    "short_first", "own_sends", "affinity",     "pools",    "long_memory",
    "admission",   "budgets",   "retry_budget", "outliers", "sampling",
};

namespace {

const Range<double> positive { 0, 1e9 };
const Range<std::int64_t> count { 0, 1'000'000'000 };

int readInt(const SettingsMap &map, const std::string &key, int fallback)
{
    return static_cast<int>(map.integer(key, { 1, 1'000'000 }, fallback));
}

void readLengths(const SettingsMap &map, LengthMix &mix)
{
    mix.median = map.number("median", positive, mix.median);
    mix.spread = map.number("spread", positive, mix.spread);
    mix.minimum = map.integer("minimum", count, mix.minimum);
    mix.longShare = map.number("long_share", { 0, 1 }, mix.longShare);
    mix.longMinimum = map.integer("long_minimum", count, mix.longMinimum);
    mix.maximum = map.integer("maximum", count, mix.maximum);
    mix.outputMean = map.number("output_mean", positive, mix.outputMean);
}

void readFleet(const SettingsMap &map, FleetPlan &fleet)
{
    fleet.zones = readInt(map, "zones", fleet.zones);
    fleet.runners = readInt(map, "runners", fleet.runners);
    fleet.entries = readInt(map, "entries", fleet.entries);
    fleet.kvTokenCount = map.integer("kv_tokens", count, fleet.kvTokenCount);
    fleet.reportSeconds = map.number("report_s", { 0.01, 1e3 }, fleet.reportSeconds);
    fleet.reportLagSeconds = map.number("report_lag_s", positive, fleet.reportLagSeconds);
    fleet.budgetFactor = map.number("budget_factor", positive, fleet.budgetFactor);
}

void readHttp(const SettingsMap &map, HttpTarget &http)
{
    if (map.has("addresses"))
        http.addresses = map.texts("addresses");
    if (map.has("keys"))
        http.keys = map.texts("keys");
    if (map.has("priorities"))
        http.priorities = map.texts("priorities");
    http.model = map.text("model", http.model);
    http.threads = readInt(map, "threads", http.threads);
}

void readLists(const SettingsMap &map, Experiment &run)
{
    for (const SettingsMap &phase : map.maps("schedule"))
        run.phases.push_back({ phase.number("at_s", positive), phase.number("factor", positive) });
    for (const SettingsMap &fault : map.maps("zone_faults"))
        run.faults.push_back({ static_cast<int>(fault.integer("zone", count)),
                               fault.number("at_s", positive), fault.number("for_s", positive) });
    for (const std::string &mechanism : map.texts("off")) {
        const auto &known = experimentMechanisms;
        if (std::find(known.begin(), known.end(), mechanism) == known.end())
            map.addProblem("off", "'" + mechanism + "' is not a mechanism",
                           "Use one of those listed by 'lavenderpick load --help'.");
        run.off.insert(mechanism);
    }
}

void readRun(const SettingsMap &map, Experiment &run)
{
    run.name = map.text("name", run.name);
    run.mode = map.choice("mode", { "model", "http" }, run.mode);
    run.seed = static_cast<std::uint64_t>(
            map.integer("seed", count, static_cast<std::int64_t>(run.seed)));
    run.seconds = map.number("seconds", positive, run.seconds);
    run.warmupSeconds = map.number("warmup_s", positive, run.warmupSeconds);
    run.timeScale = map.number("time_scale", { 0.001, 1'000 }, run.timeScale);
    run.load = map.number("load", positive, run.load);
    run.rate = map.number("rate", positive, run.rate);
    run.policy = map.choice("policy", { "router", "round_robin", "least_outstanding" }, run.policy);
    run.objective =
            parseObjective(map.choice("objective", { "short_slowdown", "first_token_by_length" },
                                      std::string(toString(run.objective))));
    run.customers = readInt(map, "customers", run.customers);
    run.customerSkew = map.number("customer_skew", positive, run.customerSkew);
    run.floodFactor = map.number("flood_factor", positive, run.floodFactor);
    run.prefixTokens = map.integer("prefix_tokens", count, run.prefixTokens);
    run.prefixShare = map.number("prefix_share", { 0, 1 }, run.prefixShare);
    run.deadlineFactor = map.number("deadline_factor", positive, run.deadlineFactor);
    run.deadlineFloorSeconds = map.number("deadline_floor_s", positive, run.deadlineFloorSeconds);
    readLengths(map.map("lengths"), run.lengths);
    readFleet(map.map("fleet"), run.fleet);
    readHttp(map.map("http"), run.http);
    readLists(map, run);
    if (run.mode == "http" && (run.http.addresses.empty() || run.http.keys.empty()))
        map.addProblem("http", "no target", "Set 'http.addresses' and 'http.keys'.");
    if (run.mode == "http" && run.rate <= 0)
        map.addProblem("rate", "no rate", "Set the requests a second for 'mode: http'.");
}

} // namespace

std::vector<Experiment> readExperiments(const std::string &path)
{
    const SettingsReader reader = SettingsReader::fromFile(path);
    const SettingsMap root = reader.root();
    Experiment base;
    readRun(root, base);
    std::vector<Experiment> runs;
    for (const SettingsMap &map : root.maps("runs")) {
        runs.push_back(base);
        readRun(map, runs.back());
    }
    reader.finish();
    if (runs.empty())
        runs.push_back(base);
    return runs;
}

} // namespace Lavenderpick::Load
