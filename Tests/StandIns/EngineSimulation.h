#pragma once

#include "PrefixCache.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick::StandIns {

/// Rates are in simulated time; `timeScale` turns them into real time.
struct EngineOptions
{
    std::string name { "engine" };
    std::int64_t kvCapacity { 200'000 };
    std::int64_t tokenBudget { 2'048 }; ///< Tokens computed in one step, decode before prefill.
    double stepMilliseconds { 20 };
    double prefillMicrosecondsPerToken { 15 };
    double attentionNanosecondsPerPair { 0.05 }; ///< For each pair of a new and an earlier token.
    double timeScale { 1 };
    int loadLagMilliseconds { 300 };
    int eventDelayMilliseconds { 500 };
    int eventGap { 0 }; ///< Every n-th cache event is lost; 0 loses none.
    int heartbeatMilliseconds { 0 };
    int orderMilliseconds { 200 }; ///< Time until an order takes effect.
    bool ignoreFence { false };
    std::vector<std::string> models { "lavender-1" };
};

struct GenerateRequest
{
    std::string id;
    std::string prompt {};
    std::int64_t maximumTokens { 0 }; ///< Of the whole answer, including `resumeOffset`.
    std::int64_t priority { 0 };      ///< Higher values are served first.
    std::string resumeText {};
    std::int64_t resumeOffset { 0 };
    std::vector<std::string> handles {};
};

/// One sequence in the engine: a stream of output tokens or the prefill of a segment.
struct Sequence
{
    std::string id;
    bool isSegment { false };
    std::uint64_t digest { 0 };
    std::int64_t arrival { 0 };
    std::int64_t priority { 0 };
    std::int64_t contextTokens { 0 }; ///< Tokens behind handles of this or other engines.
    std::int64_t promptTokens { 0 };  ///< Tokens to prefill here, with those of `resumeText`.
    std::int64_t cachedTokens { 0 };
    std::int64_t prefilled { 0 };
    std::int64_t kvTokenCount { 0 }; ///< Charged from admission until the end.
    std::int64_t firstOffset { 0 };
    std::int64_t maximumTokens { 0 };
    std::string text {}; ///< The whole answer so far.
    std::vector<std::uint64_t> blocks {};
    bool admitted { false };
    bool finished { false };
    std::string handle {};
    std::chrono::steady_clock::time_point finishedAt {};

    std::int64_t produced() const { return static_cast<std::int64_t>(text.size()) / 4; }
};

/// Continuous batching over simulated steps. Safe for concurrent use.
class EngineSimulation
{
public:
    explicit EngineSimulation(const EngineOptions &options);

    /// Computes one step and returns its duration in real time; blocks while there is no work, for
    /// at most 50 ms.
    std::chrono::nanoseconds step();

    /// False when the sequence can never fit in memory or its id is taken.
    bool submit(const GenerateRequest &request, bool isSegment);
    bool cancel(const std::string &id);

    struct Progress
    {
        std::vector<std::pair<std::int64_t, std::string>> tokens {};
        bool gone { false };
        bool finished { false };
        std::int64_t count { 0 };
        std::string text {}; ///< The whole answer, when finished.
        std::int64_t promptTokens { 0 };
        std::int64_t cachedTokens { 0 };
        std::string handle {};
    };

    /// What a stream has from offset `from`; waits up to `timeout` for anything new.
    Progress progress(const std::string &id, std::int64_t from, std::chrono::milliseconds timeout);
    bool contains(const std::string &id) const;

    std::optional<std::string> exportStream(const std::string &id);
    std::optional<std::string> importHandle(const std::string &handle);
    bool releaseHandle(const std::string &handle);

    nlohmann::json load() const;
    nlohmann::json inventory() const;
    nlohmann::json cacheEvents(std::int64_t after) const;
    nlohmann::json state();

    /// False when the fence is older than one already seen and fences are honoured.
    bool order(const nlohmann::json &order);

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct PendingOrder
    {
        nlohmann::json order;
        TimePoint effectiveAt;
    };

    std::chrono::nanoseconds scaled(double simulatedMicroseconds) const;
    void admitWaiting();
    void decode(std::int64_t &budget);
    double prefill(std::int64_t &budget);
    void finish(Sequence &sequence);
    void dropFinished();
    void publishLoad();
    void applyOrders();
    std::string newHandle(std::uint64_t digest, std::int64_t tokens);
    std::vector<Sequence *> byRank();

    EngineOptions m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Sequence> m_sequences;
    std::map<std::string, std::int64_t> m_handles;
    PrefixCache m_cache;
    std::int64_t m_kvUsed { 0 };
    std::int64_t m_arrivals { 0 };
    std::int64_t m_handleCount { 0 };
    double m_lastStepMilliseconds { 0 };
    nlohmann::json m_load;
    TimePoint m_loadAt {};
    std::int64_t m_highestFence { 0 };
    std::vector<PendingOrder> m_orders;
    nlohmann::json m_state;
};

} // namespace Lavenderpick::StandIns
