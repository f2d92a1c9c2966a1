#pragma once

#include "Services/Entry/CallerGuard.h"
#include "Services/Entry/JobRunner.h"

namespace Lavenderpick {

/// `POST /v1/jobs`, `GET /v1/jobs/<id>` and `GET /v1/jobs/<id>/result`.
class JobApi
{
public:
    JobApi(const EntryContext &context, JobRunner &jobs);

    void addRoutes(httplib::Server &routes, CallerGuard &guard);

private:
    void answerSubmission(CallerRequest &request);
    void answerState(CallerRequest &request);
    void answerResult(CallerRequest &request);
    JobRecord find(const CallerRequest &request);

    EntryContext m_context;
    JobRunner &m_jobs;
};

} // namespace Lavenderpick
