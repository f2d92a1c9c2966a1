#pragma once

#include "Services/Entry/AgentDirectory.h"
#include "Services/Entry/DocumentSync.h"
#include "Services/Entry/DrainGate.h"
#include "Services/Entry/EntryContext.h"
#include "lavenderpick/Http/MessageAuthenticator.h"

#include <functional>
#include <httplib.h>

namespace Lavenderpick {

/// `/internal/document`, `/internal/vms`, `/internal/status`, and what operators and balancers
/// read: `/health`,
/// `/ready` and `/metrics`.
class EntryInternalApi
{
public:
    /// Adds what a part of the process tells about itself to the status.
    using StatusPart = std::function<nlohmann::json()>;

    EntryInternalApi(const EntryContext &context, const MessageAuthenticator &authenticator,
                     AgentDirectory &directory, DrainGate &gate);

    void addStatusPart(const std::string &name, StatusPart part);
    void addRoutes(httplib::Server &routes);

private:
    httplib::Server::Handler authenticated(httplib::Server::Handler handler);
    void answerDocument(const httplib::Request &request, httplib::Response &response);
    bool isReady() const;
    nlohmann::json health() const;
    nlohmann::json status() const;
    std::string metrics();

    EntryContext m_context;
    const MessageAuthenticator &m_authenticator;
    AgentDirectory &m_directory;
    DrainGate &m_gate;
    std::vector<std::pair<std::string, StatusPart>> m_parts;
};

} // namespace Lavenderpick
