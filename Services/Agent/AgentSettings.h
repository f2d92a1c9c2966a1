#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Http/HttpServer.h"
#include "lavenderpick/Upstream/AttemptTable.h"
#include "lavenderpick/Upstream/UpstreamAdmission.h"

#include <cstdint>
#include <string>

namespace Lavenderpick {

class SettingsMap;

enum class UpstreamKind {
    Engine,
    Service,
};

/// The upstream beside the agent.
struct AgentUpstream
{
    std::string name;
    UpstreamKind kind { UpstreamKind::Engine };
    std::string address;
    bool checksFencing { false }; ///< Whether the engine rejects an order with an old fence.
    std::string model {};         ///< The model to run; empty: whatever it runs.
    std::string service {};       ///< Kind service: name of the service in the document.

    bool operator==(const AgentUpstream &) const = default;

    static AgentUpstream parse(const SettingsMap &map);
};

struct AgentCaps
{
    std::int64_t streams { 256 }; ///< Running and waiting attempts.
    std::int64_t waitingAttempts { 64 };
    std::int64_t calls { 64 }; ///< Open calls to a plain service.
    std::int64_t bodyBytes { 16 * 1024 * 1024 };
    std::int64_t longPromptTokens { 32'000 };
    Duration abandonAfter { Seconds(10) };
    Duration keepEnded { Seconds(30) };
    /// Silence of the engine's stream after which it is resumed on another connection.
    Duration streamSilence { Seconds(10) };
    /// Silence of the whole engine after which its attempts fail, so that entries resume elsewhere.
    Duration engineSilence { Seconds(6) };
    Duration drain { Seconds(600) };

    bool operator==(const AgentCaps &) const = default;

    AttemptTableLimits attemptLimits() const;
    UpstreamAdmissionSettings admissionSettings() const;
    HttpServerLimits httpLimits() const;

    static AgentCaps parse(const SettingsMap &map);
};

struct AgentSettings
{
    std::string name;
    std::string host;
    int port { 0 };
    int datagramPort { 0 };
    std::string region;
    std::string availabilityZone;
    std::string clusterKey;
    std::string platformAddress;
    LogLevel logLevel { LogLevel::Info };
    AgentUpstream upstream;
    AgentCaps caps {};
    Duration inventoryPeriod { Seconds(5) };
    Duration loadPeriod { Seconds(1) };

    bool operator==(const AgentSettings &) const = default;

    static AgentSettings parse(const SettingsMap &root);

    /// Throws `Error` of kind InvalidSettings that lists every problem.
    static AgentSettings fromFile(const std::string &path);
};

} // namespace Lavenderpick
