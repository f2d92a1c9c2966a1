#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Lavenderpick {

struct EngineRequest
{
    std::string id;
    std::string prompt;
    std::int64_t maximumTokens { 0 };
    std::int64_t priority { 0 }; ///< Higher is served first.
    std::string resumeText {};
    std::int64_t resumeOffset { 0 };
    std::vector<std::string> handles {};

    nlohmann::json toJson() const;
};

/// A token, or with `done` the end of the stream.
struct EngineEvent
{
    bool done { false };
    std::int64_t offset { 0 };
    std::string text {};
    std::int64_t count { 0 };
    std::string digest {};
    std::int64_t promptTokens { 0 };
    std::int64_t cachedTokens { 0 };

    /// Throws `Error` of kind InvalidMessage.
    static EngineEvent parse(const nlohmann::json &json);
};

/// Returns false to stop reading; the stream goes on at the engine until it is cancelled.
using EngineEventReceiver = std::function<bool(const EngineEvent &)>;

struct EngineLoad
{
    std::int64_t kvTokensInUse { 0 };
    std::int64_t kvCapacity { 0 };
    std::int64_t running { 0 };
    std::int64_t waiting { 0 };
    std::int64_t prefillBacklog { 0 };
    double stepMilliseconds { 0 };
    std::int64_t ageMilliseconds { 0 };

    bool operator==(const EngineLoad &) const = default;

    static EngineLoad parse(const nlohmann::json &json);
};

struct EngineInventory
{
    std::vector<std::string> streams {};
    std::vector<std::string> handles {};

    bool operator==(const EngineInventory &) const = default;

    static EngineInventory parse(const nlohmann::json &json);
};

struct EngineState
{
    std::map<std::string, std::string> models {};   ///< Versions by name.
    std::map<std::string, std::string> adapters {}; ///< Versions by name.
    std::string role {};
    std::int64_t fence { 0 }; ///< Of the last order that took effect.

    bool operator==(const EngineState &) const = default;

    static EngineState parse(const nlohmann::json &json);
};

/// An order to an engine (O5).
struct EngineOrder
{
    std::int64_t fence { 0 };
    std::int64_t epoch { 0 };
    std::string kind; ///< load_model, unload_model, load_adapter, unload_adapter or role.
    std::string name;
    std::string version {};

    bool operator==(const EngineOrder &) const = default;

    nlohmann::json toJson() const;
};

/// The model engine beside this process. Safe for concurrent use.
///
/// Every call throws `Error`: kind UpstreamUnavailable when the engine did not get the request,
/// kind UpstreamFailed when it may have, kind NotFound for an unknown stream.
class Engine
{
public:
    virtual ~Engine() = default;

    /// Runs a stream until its last event, the receiver stops or the connection ends.
    virtual void generate(const EngineRequest &request, const EngineEventReceiver &receiver) = 0;

    /// Goes on with a running stream from offset `from`, on a new connection.
    virtual void resume(const std::string &id, std::int64_t from,
                        const EngineEventReceiver &receiver) = 0;
    virtual void cancel(const std::string &id) = 0;

    /// Prefills one part of a prompt and returns its handle. Ends with an error after `timeout`.
    virtual std::string prefillSegment(const EngineRequest &request, Duration timeout) = 0;

    /// Exports the KV memory of a stream as a handle; the copy is charged where it is made.
    virtual std::string exportStream(const std::string &id) = 0;
    virtual void releaseHandle(const std::string &handle) = 0;

    virtual EngineLoad load() = 0;
    virtual EngineInventory inventory() = 0;
    virtual EngineState state() = 0;

    /// Returns false when the engine rejected the order's fence as old.
    virtual bool order(const EngineOrder &order) = 0;
};

} // namespace Lavenderpick
