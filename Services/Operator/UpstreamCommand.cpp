#include "Services/Operator/UpstreamCommand.h"

#include "Services/Operator/CommandLine.h"
#include "Services/Operator/OperatorSession.h"
#include "Services/Operator/UpstreamList.h"
#include "lavenderpick/Base/Units.h"
#include "lavenderpick/Document/DocumentCheck.h"

namespace Lavenderpick {

namespace {

ExitCode runList(int argc, char **argv)
{
    CommandLine line("upstream list",
                     "Lists upstreams with their plan and state. Agents of planned upstreams are\n"
                     "asked whether they are drained; the settings must hold the cluster key.");
    line.addFlag("all", "ask all agents, not only those of planned upstreams");
    OperatorSession::addOption(line);
    if (!line.parse(argc, argv))
        return ExitCode::Success;
    OperatorSession session(OperatorSession::settingsOf(line));
    const Document document = session.store().load();
    std::vector<UpstreamState> asked;
    std::vector<UpstreamState> others;
    for (const auto &[name, upstream] : listUpstreams(document, session.vmList())) {
        const bool ask = session.hasClusterKey()
                && (line.has("all") || upstream.plan.action != PlanAction::Serve);
        (ask ? asked : others).push_back(upstream);
    }
    askAgents(session, asked);
    asked.insert(asked.end(), others.begin(), others.end());
    nlohmann::json json = nlohmann::json::array();
    std::string text;
    for (const UpstreamState &upstream : asked) {
        json.push_back(upstream.toJson());
        text += upstream.toText();
    }
    line.print(json, text);
    return ExitCode::Success;
}

/// An edit of one upstream's plan.
class PlanEdit
{
public:
    PlanEdit(const CommandLine &line, PlanEntry plan)
        : m_line(line)
        , m_session(OperatorSession::settingsOf(line))
        , m_plan(std::move(plan))
    { }

    ExitCode run()
    {
        const Document present = m_session.store().load();
        m_plan.by = m_session.authorize(present, present, SectionName::plans);
        const std::int64_t epoch = present.planEpoch(m_plan.upstream);
        const auto planned = present.plan(m_plan.upstream);
        if (!planned)
            requireListed();
        const bool replaces = planned && planned->action != PlanAction::Serve
                && m_plan.action != PlanAction::Serve;
        const auto base = m_line.number("base");
        // Without a base, a plan that another operator made must not be replaced unseen.
        if (base ? *base != epoch : replaces)
            return reportConflict(present);
        const EditResult result =
                m_session.store().apply({ .section = SectionName::plans,
                                          .entries = { { m_plan.upstream, m_plan.toJson() } },
                                          .baseVersion = epoch,
                                          .baseEntry = m_plan.upstream,
                                          .editor = m_plan.by });
        if (!result.applied)
            return reportConflict(result.document);
        m_line.print({ { "applied", true }, { "epoch", result.version } },
                     "Planned: " + m_plan.upstream + " " + std::string(toString(m_plan.action))
                             + ", epoch " + std::to_string(result.version) + ".\n");
        return ExitCode::Success;
    }

private:
    // A plan for a misspelt name would stop nothing, and nobody would notice.
    void requireListed()
    {
        if (m_line.has("unlisted"))
            return;
        for (const Vm &vm : m_session.vmList().changesSince(0).vms) {
            if (vm.upstream == m_plan.upstream)
                return;
        }
        throw Error(ErrorKind::NotFound, "The platform lists no upstream '" + m_plan.upstream + "'",
                    "Check the name, or use --unlisted if the list lags behind.");
    }

    ExitCode reportConflict(const Document &document) const
    {
        const std::int64_t epoch = document.planEpoch(m_plan.upstream);
        const PlanEntry planned =
                document.plan(m_plan.upstream).value_or(PlanEntry { .upstream = m_plan.upstream });
        m_line.print({ { "applied", false },
                       { "conflict", true },
                       { "start_from", epoch },
                       { "plan", planned.toJson() } },
                     "Conflict: " + m_plan.upstream + " has the plan '"
                             + std::string(toString(planned.action)) + "' by " + planned.by
                             + ". Nothing was changed. To replace that plan, repeat with --base "
                             + std::to_string(epoch) + ".\n");
        return ExitCode::Conflict;
    }

    const CommandLine &m_line;
    OperatorSession m_session;
    PlanEntry m_plan;
};

Duration graceOf(const CommandLine &line)
{
    const auto grace = parseDuration(line.text("grace"));
    if (!grace)
        throw cxxopts::exceptions::parsing("'--grace' must be a duration such as '10 min'");
    return *grace;
}

void addPlanOptions(CommandLine &line)
{
    line.addText("base", "epoch of the plan that is replaced, as 'upstream list' printed it");
    line.addFlag("unlisted", "accept a name that the platform does not list yet");
    OperatorSession::addOption(line);
}

ExitCode runStop(int argc, char **argv)
{
    CommandLine line("upstream stop",
                     "Plans that an upstream takes no new work and finishes what runs.",
                     { "upstream" });
    line.addText("grace", "time for running work before it is resumed elsewhere", "10 min");
    addPlanOptions(line);
    if (!line.parse(argc, argv))
        return ExitCode::Success;
    return PlanEdit(line,
                    { .upstream = line.text("upstream"),
                      .action = PlanAction::Stop,
                      .grace = graceOf(line) })
            .run();
}

ExitCode runMove(int argc, char **argv)
{
    CommandLine line("upstream move",
                     "Plans that an upstream finishes what runs and then changes over.",
                     { "upstream" });
    line.addText("to", "model:<name>, role:<name> or firm:<name>");
    line.addText("grace", "time for running work before it is resumed elsewhere", "10 min");
    addPlanOptions(line);
    if (!line.parse(argc, argv))
        return ExitCode::Success;
    return PlanEdit(line,
                    { .upstream = line.text("upstream"),
                      .action = PlanAction::Move,
                      .to = line.requiredText("to"),
                      .grace = graceOf(line) })
            .run();
}

ExitCode runCancel(int argc, char **argv)
{
    CommandLine line("upstream cancel", "Withdraws the plan of an upstream, which serves again.",
                     { "upstream" });
    addPlanOptions(line);
    if (!line.parse(argc, argv))
        return ExitCode::Success;
    return PlanEdit(line, { .upstream = line.text("upstream") }).run();
}

} // namespace

ExitCode runUpstreamCommand(int argc, char **argv)
{
    return runAction({ { "list", runList, "show upstreams, their plans and states" },
                       { "stop", runStop, "plan a stop" },
                       { "move", runMove, "plan a change of model or role, or a hand-over" },
                       { "cancel", runCancel, "withdraw a plan" } },
                     argc, argv);
}

} // namespace Lavenderpick
