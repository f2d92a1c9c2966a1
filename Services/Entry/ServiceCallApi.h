#pragma once

#include "Services/Entry/CallerGuard.h"
#include "Services/Entry/ServiceCalls.h"

namespace Lavenderpick {

/// `POST /v1/services/<name>/<path>` and `GET /v1/calls/<key>`.
class ServiceCallApi
{
public:
    ServiceCallApi(const EntryContext &context, ServiceCalls &calls, CallRecords &records);

    void addRoutes(httplib::Server &routes, CallerGuard &guard);

private:
    void answerCall(CallerRequest &request);
    void answerLookUp(CallerRequest &request);
    ServiceCall describe(const CallerRequest &request) const;

    EntryContext m_context;
    ServiceCalls &m_calls;
    CallRecords &m_records;
};

} // namespace Lavenderpick
