#pragma once

#include "Services/Entry/CallerGuard.h"
#include "Services/Entry/CompletionService.h"

namespace Lavenderpick {

/// `POST /v1/completions`.
class CompletionApi
{
public:
    CompletionApi(const EntryContext &context, CompletionService &service);

    void addRoutes(httplib::Server &routes, CallerGuard &guard);

private:
    void answer(CallerRequest &request);
    void answerStream(CallerRequest &request, AdmittedCompletion admitted);
    void answerWhole(CallerRequest &request, const AdmittedCompletion &admitted);

    EntryContext m_context;
    CompletionService &m_service;
};

} // namespace Lavenderpick
