#pragma once

#include "Services/Agent/AttemptService.h"
#include "Services/Agent/CallService.h"
#include "Services/Agent/ReservationService.h"
#include "lavenderpick/Http/HttpServer.h"
#include "lavenderpick/Http/MessageAuthenticator.h"

#include <functional>

namespace Lavenderpick {

/// The agent's HTTP routes (5.8). Requests between processes are authenticated.
class InternalApi
{
public:
    struct Services
    {
        AttemptService &attempts;
        ReservationService &reservations;
        CallService &calls;
        UpstreamGate &gate;
        const DocumentReplica &document;
        const MessageAuthenticator &authenticator;
        Metrics &metrics;
        std::function<nlohmann::json()> status;
        /// Called with a peer's document version that is later than this process's.
        std::function<void(std::int64_t)> onNewerDocument;
    };

    explicit InternalApi(Services services)
        : m_services(std::move(services))
    { }

    void addRoutes(httplib::Server &routes);

private:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

    Handler guarded(Handler handler) const;
    void addAttemptRoutes(httplib::Server &routes);
    void addReservationRoutes(httplib::Server &routes);
    void addPublicRoutes(httplib::Server &routes);

    Services m_services;
};

} // namespace Lavenderpick
