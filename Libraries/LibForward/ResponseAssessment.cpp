#include "lavenderpick/Forward/ResponseAssessment.h"

#include <algorithm>
#include <array>

namespace Lavenderpick {

bool promisesNotRun(int status)
{
    constexpr std::array promises { 408, 421, 429, 503 };
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

ResponseAssessment ResponseAssessment::of(const ResponseHead &response,
                                          const ResponseContext &context,
                                          const RequestDialect &dialect)
{
    const HeaderNames &names = dialect.names();
    const bool hasRequestId = response.headers.find(names.requestId) != nullptr;
    const std::string statusCause = "status_" + std::to_string(response.status);
    if (!hasRequestId && context.connectionReused)
        return { ResponseVerdict::Unattributed, "response_without_id" };
    if (dialect.isMisdirected(response))
        return { ResponseVerdict::Misdirected, "other_upstream" };
    if (dialect.provesNotRun(response))
        return response.isSuccess()
                ? ResponseAssessment { ResponseVerdict::Unusable, "success_that_did_not_run" }
                : ResponseAssessment { ResponseVerdict::NotRun, statusCause };
    if (response.isSuccess()) {
        if (!hasRequestId || response.headers.find(names.signature) == nullptr)
            return { ResponseVerdict::Unusable, "response_without_signature" };
        return { ResponseVerdict::Success, {} };
    }
    // Callers repeat a request after such a status, whether or not it may run twice.
    if (promisesNotRun(response.status))
        return { ResponseVerdict::Unusable, "unproven_" + statusCause };
    return { ResponseVerdict::Failure, statusCause };
}

} // namespace Lavenderpick
