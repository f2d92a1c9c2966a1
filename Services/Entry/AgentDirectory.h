#pragma once

#include "Services/Entry/EntryContext.h"
#include "Services/Entry/LongPromptPlan.h"
#include "Services/Entry/UpstreamSelector.h"
#include "lavenderpick/Membership/AgentSubset.h"
#include "lavenderpick/Membership/GossipSchedule.h"
#include "lavenderpick/Membership/MemberTable.h"
#include "lavenderpick/Retry/OutlierDetector.h"
#include "lavenderpick/Retry/RetryBudget.h"
#include "lavenderpick/Routing/Router.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// Load of the fleet as one entry sees it; 1 is full.
struct FleetLoad
{
    double pressure { 0 };            ///< Of all prefill work.
    double shortPromptPressure { 0 }; ///< Of the work that short prompts wait for.

    bool operator==(const FleetLoad &) const = default;
};

/// The agents and entries that this entry knows, and the choice among them: the one lock around
/// membership, routing, outliers and the retry budget. Safe for concurrent use; no call does I/O.
class AgentDirectory final : public UpstreamSelector
{
public:
    explicit AgentDirectory(const EntryContext &context);

    /// M1. Returns the list's version afterwards.
    void applyVmList(const VmChanges &changes);
    std::int64_t vmListVersion() const;

    /// All members as the list showed them, for a peer that can't read the list.
    VmChanges vmList() const;

    /// Whether the watched agents have reported, so that a caller's first request finds one. After
    /// a while silent agents no longer count: they may be down, and the others can serve.
    bool hasHeardFromAgents() const;

    /// M3. Returns false for a late or unknown report.
    bool observeReport(const LoadReport &report);

    /// Chooses the subsets again for the document in force. Call every few seconds (M2).
    void refresh();

    /// Datagram addresses of the agents to subscribe to.
    std::vector<std::string> watchedDatagramAddresses() const;

    /// The peer to gossip with now, if it is time (M5).
    std::optional<Vm> nextGossipPeer();

    /// The entries that neither leave nor are gone, this one included.
    std::vector<Vm> entries() const;

    SelectedUpstream select(const SelectionRequest &request) override;
    void onSent(const std::string &attemptId, const SelectedUpstream &target,
                const SelectionRequest &request) override;
    void onFirstToken(const std::string &attemptId) override;
    void onFinished(const std::string &attemptId, const AttemptResult &result) override;
    bool mayRetry(RetryReason reason) override;
    void onSuccess() override;

    /// Engines for a prompt over one engine's memory, in ascending name (P1); empty when there are
    /// not enough.
    std::vector<GroupMember> selectGroup(const SelectionRequest &request) const;

    /// Seconds that an idle engine takes to read `tokens` behind `contextTokens` others.
    double predictPrefill(const std::string &upstream, const std::string &model,
                          std::int64_t tokens, std::int64_t contextTokens) const;

    /// An agent of a plain service that is not among `tried`; empty when there is none.
    SelectedUpstream selectService(const std::string &service,
                                   const std::vector<std::string> &tried);
    void recordServiceResult(const std::string &upstream, bool failed);

    FleetLoad fleetLoad() const;

    nlohmann::json toJson() const;

private:
    struct Attempt
    {
        std::string upstream;
        std::string model;
        std::int64_t promptTokens { 0 };
        std::int64_t cachedTokens { 0 };
        double waitSeconds { 0 };
        std::vector<PrefixHash> prefix;
        TimePoint sentAt {};
        std::optional<TimePoint> firstTokenAt {};
    };

    std::vector<Candidate> candidates(const std::string &model, TimePoint now) const;
    SelectedUpstream withAddress(RouteDecision decision) const;
    bool haveWatchedAgentsReported() const;
    bool isPlannedAway(const std::string &upstream) const;
    void learnFrom(const Attempt &attempt, const AttemptResult &result);

    EntryContext m_context;
    mutable std::mutex m_mutex;
    MemberTable m_members;
    AgentSubset m_subset;
    GossipSchedule m_gossipSchedule;
    CostModel m_costModel;
    LoadView m_loadView;
    PrefixIndex m_prefixIndex;
    Router m_router;
    std::optional<TimePoint> m_listedAt; ///< When the VM list was first applied.
    bool m_heardFromAgents { false };
    OutlierDetector m_outliers;
    RetryBudget m_retryBudget;
    std::map<std::string, Attempt> m_attempts; ///< In flight, by attempt id.
};

} // namespace Lavenderpick
