#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Reasons.h"
#include "lavenderpick/Upstream/ReservationLedger.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavenderpick {

struct UpstreamAdmissionSettings
{
    std::size_t maximumWaiting { 64 };
    /// Waiting prompts are held in this process's memory, 4 bytes a token. One may exceed the
    /// bound.
    std::int64_t maximumWaitingTokens { 4'000'000 };
    /// Prompts with at least this many tokens to prefill are long.
    std::int64_t longPromptTokens { 32'000 };
    /// Bounds of the share of memory for long prompts. The upper one leaves room for short work
    /// that arrives; the lower one lets a long prompt start while short work alone is in demand.
    double minimumLongShare { 0.25 };
    double maximumLongShare { 0.9 };
    /// Demand of a class counts less by half after this time.
    Duration demandHalfLife { Seconds(20) };
    /// A waiting request gains one rank, and a long one the right to memory, after this time.
    Duration ageingTime { Seconds(5) };
};

/// One attempt that asks for admission.
struct AdmissionRequest
{
    std::string attemptId;
    std::string model;
    std::int64_t rank { 0 };          ///< Of the request's priority; higher is served first.
    std::int64_t prefillTokens { 0 }; ///< Tokens to prefill.
    std::int64_t kvTokenCount { 0 };  ///< Memory until the end of the attempt.
    std::string reservationId {};
    TimePoint deadline;
};

enum class AdmissionDecision {
    Started, ///< Memory is charged under the attempt's id.
    Waiting,
    Refused,
};

/// Decides which attempts the engine gets. Performs no I/O and is not safe for concurrent use.
///
/// Short work goes before long prefill. Long prefill is confined to a share of memory that follows
/// the demand for it; within the share the earliest deadline goes first, and waiting brings a
/// virtual deadline nearer, so that neither class starves.
class UpstreamAdmission
{
public:
    UpstreamAdmission(const UpstreamAdmissionSettings &settings, ReservationLedger &ledger);

    void setModels(std::set<std::string> models) { m_models = std::move(models); }
    const std::set<std::string> &models() const { return m_models; }

    /// While refusing, running and waiting attempts go on and new ones are refused. With Draining,
    /// attempts of reservations that are held here still start.
    void setRefusing(std::optional<RefusalReason> reason) { m_refusing = reason; }
    std::optional<RefusalReason> refusing() const { return m_refusing; }

    /// Prefill speed that the engine showed. The highest counts: a mean would follow a busy time
    /// and then refuse all long work, after which nothing would correct it.
    void observePrefill(std::int64_t tokens, Duration duration);

    struct Result
    {
        AdmissionDecision decision;
        RefusalReason reason { RefusalReason::QueueFull }; ///< When refused.
    };

    Result request(const AdmissionRequest &request, TimePoint now);

    /// Attempts that start now, with their memory charged.
    std::vector<std::string> startWaiting(TimePoint now);

    /// Waiting attempts whose deadline passed; they are no longer waiting.
    std::vector<std::string> dropExpired(TimePoint now);

    /// The attempt has ended or left; its memory is free.
    void finished(const std::string &attemptId);

    std::size_t waitingCount() const { return m_waiting.size(); }
    std::size_t runningCount() const { return m_running.size(); }
    std::int64_t waitingPrefillTokens() const;
    std::int64_t waitingShortPrefillTokens() const;

    /// The share of memory that long prompts may hold now.
    double longShare(TimePoint now) const;

    bool isLong(std::int64_t prefillTokens) const
    {
        return prefillTokens >= m_settings.longPromptTokens;
    }

private:
    struct Waiting
    {
        AdmissionRequest request;
        TimePoint since;
    };

    struct Running
    {
        std::string attemptId;
        std::int64_t kvTokenCount;
        bool isLong;
    };

    /// An exponentially decaying sum of requested tokens.
    struct Demand
    {
        double tokens { 0 };
        TimePoint at {};

        double value(TimePoint now, Duration halfLife) const;
        void add(double amount, TimePoint now, Duration halfLife);
    };

    std::optional<RefusalReason> refusalOf(const AdmissionRequest &request, TimePoint now) const;
    std::optional<std::size_t> best(bool wantLong, TimePoint now) const;
    bool fits(const Waiting &waiting, TimePoint now) const;
    bool start(std::size_t index);
    bool mayWait() const;
    std::int64_t longTokens() const;
    std::int64_t memoryKeptForLong(TimePoint now) const;

    UpstreamAdmissionSettings m_settings;
    ReservationLedger &m_ledger;
    std::set<std::string> m_models;
    std::optional<RefusalReason> m_refusing;
    std::vector<Waiting> m_waiting;
    std::vector<Running> m_running;
    Demand m_longDemand;
    Demand m_shortDemand;
    double m_prefillTokensPerSecond { 0 };
};

} // namespace Lavenderpick
