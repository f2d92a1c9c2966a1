#pragma once

#include <httplib.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace Lavenderpick::StandIns {

/// Faults of a stand-in server, set by `POST /faults`, and counters, shown by `GET /counters`.
///
/// `{"down":bool, "slow_ms":N, "lose_answers":N}`; a field that is left out stays as it is. Down
/// answers 503 without effect. A lost answer breaks the connection after the effect.
class ServerFaults
{
public:
    enum class Access {
        Read,
        Write,
    };

    /// Adds the routes `/faults` and `/counters`.
    void addRoutes(httplib::Server &server);

    /// Wraps a handler with the faults. Slowness comes before the effect.
    httplib::Server::Handler wrap(Access access, httplib::Server::Handler handler);

private:
    struct Settings
    {
        bool down { false };
        int slowMilliseconds { 0 };
        int loseAnswers { 0 };
    };

    std::mutex m_mutex;
    Settings m_settings;
    std::int64_t m_reads { 0 };
    std::int64_t m_writes { 0 };
};

} // namespace Lavenderpick::StandIns
