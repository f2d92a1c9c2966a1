#include "Services/Operator/UpstreamList.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Units.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace Lavenderpick {

namespace {

// A silent agent costs the whole timeout, and many are planned at once when a zone is emptied.
constexpr std::size_t agentsAskedAtOnce = 16;

} // namespace

nlohmann::json UpstreamState::toJson() const
{
    return { { "upstream", name },      { "agent", agentAddress }, { "vm", vmState },
             { "plan", plan.toJson() }, { "epoch", epoch },        { "state", agentState } };
}

std::string UpstreamState::toText() const
{
    std::string text = name + "  " + vmState + "  " + std::string(toString(plan.action));
    if (!plan.to.empty())
        text += " " + plan.to;
    if (epoch > 0)
        text += " (epoch " + std::to_string(epoch) + ", grace " + formatDuration(plan.grace)
                + ", by " + plan.by + ")";
    return text + "  " + agentState + "\n";
}

std::map<std::string, UpstreamState> listUpstreams(const Document &document, VmList &vmList)
{
    std::map<std::string, UpstreamState> upstreams;
    for (const Vm &vm : vmList.changesSince(0).vms) {
        // A VM that is gone must not hide the one that replaced it.
        const auto known = upstreams.find(vm.upstream);
        const bool replaced = known != upstreams.end() && vm.state == VmState::Gone;
        if (vm.role != "agent" || vm.upstream.empty() || replaced)
            continue;
        upstreams[vm.upstream] = { .name = vm.upstream,
                                   .agentAddress = vm.address,
                                   .vmState = std::string(toString(vm.state)) };
    }
    for (const auto &[name, entry] : document.section(SectionName::plans).entries) {
        UpstreamState &upstream = upstreams[name];
        if (upstream.name.empty())
            upstream = { .name = name, .vmState = "unlisted" };
        upstream.plan = PlanEntry::parse(name, *entry.value);
        upstream.epoch = entry.version;
    }
    return upstreams;
}

std::string agentStateOf(const nlohmann::json &status, std::int64_t epoch)
{
    try {
        // An agent that has seen no plan reports -1.
        if (optionalInteger(status, "plan_epoch", 0, -1) < epoch && epoch > 0)
            return "unknown";
        if (optionalBool(status, "drained", false))
            return "drained";
        return optionalBool(status, "accepting", false) ? "serving" : "draining";
    } catch (const Error &) {
        return "unknown";
    }
}

void askAgents(OperatorSession &session, std::vector<UpstreamState> &upstreams)
{
    std::atomic<std::size_t> next { 0 };
    const auto askSome = [&] {
        for (std::size_t index = next++; index < upstreams.size(); index = next++) {
            UpstreamState &upstream = upstreams[index];
            if (upstream.agentAddress.empty())
                continue;
            const auto status = session.ask(upstream.agentAddress, "/internal/status");
            if (status)
                upstream.agentState = agentStateOf(*status, upstream.epoch);
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < std::min(agentsAskedAtOnce, upstreams.size()); ++index)
        threads.emplace_back(askSome);
    for (std::thread &thread : threads)
        thread.join();
}

} // namespace Lavenderpick
