#pragma once

#include "Services/Entry/DrainGate.h"
#include "Services/Entry/EntryContext.h"
#include "lavenderpick/Document/Entries.h"

#include <functional>
#include <httplib.h>
#include <memory>
#include <string>

namespace Lavenderpick {

/// One caller's request on its way through an entry.
struct CallerRequest
{
    const httplib::Request &http;
    httplib::Response &response;
    std::string requestId;
    TimePoint arrived;
    CustomerEntry customer;
    std::shared_ptr<const Document> document; ///< The document in force on arrival.
    std::shared_ptr<DrainGate::Pass> pass;    ///< Kept as long as the response is being written.
};

/// Stands before every handler for callers: gives the request an identifier, refuses while the
/// process is not ready or has drained, authenticates the bearer key, and turns errors into problem
/// details with the identifier.
class CallerGuard
{
public:
    using Handler = std::function<void(CallerRequest &)>;

    CallerGuard(const EntryContext &context, DrainGate &gate);

    /// A handler for the HTTP server.
    httplib::Server::Handler wrap(Handler handler);

private:
    void handle(const httplib::Request &request, httplib::Response &response,
                const Handler &handler, const std::string &requestId);
    CustomerEntry authenticate(const httplib::Request &request, const Document &document) const;
    void refuse(httplib::Response &response, Problem problem, const std::string &requestId);

    EntryContext m_context;
    DrainGate &m_gate;
};

/// Throws `ProblemError` with Forbidden unless the customer has the role.
void requireRole(const CallerRequest &request, const std::string &role);

/// The remaining time that the caller gave in a `deadline_ms`, bounded by the caps.
Duration boundedDeadline(std::int64_t milliseconds, const EntryCaps &caps);

} // namespace Lavenderpick
