#pragma once

#include "lavenderpick/Http/HttpClient.h"
#include "lavenderpick/Upstream/Engine.h"

namespace Lavenderpick {

/// An engine over its published HTTP interface.
class HttpEngine final : public Engine
{
public:
    /// `streamSilence` is the longest silence of a stream before it counts as broken. It exceeds
    /// the time that an engine without heartbeats prefills in one go.
    HttpEngine(const std::string &address, const Clock &clock,
               Duration streamSilence = Seconds(10));

    void generate(const EngineRequest &request, const EngineEventReceiver &receiver) override;
    void resume(const std::string &id, std::int64_t from,
                const EngineEventReceiver &receiver) override;
    void cancel(const std::string &id) override;
    std::string prefillSegment(const EngineRequest &request, Duration timeout) override;
    std::string exportStream(const std::string &id) override;
    void releaseHandle(const std::string &handle) override;
    EngineLoad load() override;
    EngineInventory inventory() override;
    EngineState state() override;
    bool order(const EngineOrder &order) override;

private:
    void stream(const HttpRequest &request, const EngineEventReceiver &receiver);
    nlohmann::json fetch(const HttpRequest &request);
    void remove(const std::string &path);

    HttpClient m_client;
    Duration m_streamSilence;
};

} // namespace Lavenderpick
