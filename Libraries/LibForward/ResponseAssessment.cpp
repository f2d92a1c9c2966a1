#include "lavenderpick/Forward/ResponseAssessment.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace Lavenderpick {

namespace {

/// The media type without its parameters; empty if the response names none.
std::string_view mediaType(const ResponseHead &response)
{
    const std::string *type = response.headers.find("Content-Type");
    if (type == nullptr)
        return {};
    const std::string_view text(*type);
    const std::string_view name = text.substr(0, text.find(';'));
    return name.substr(0, name.find_last_not_of(' ') + 1);
}

/// Whether the body of `next` may be appended to that of `begun`.
bool continues(const ResponseHead &next, const ResponseHead &begun)
{
    const std::string_view nextType = mediaType(next);
    const std::string_view begunType = mediaType(begun);
    return next.status == begun.status
            && (nextType.empty() || begunType.empty() || equalHeaderNames(nextType, begunType));
}

} // namespace

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
    if (findAmbiguousField(response.headers, { names.requestId, names.signature }) != nullptr)
        return { ResponseVerdict::Unattributed, "response_with_ambiguous_id" };
    if (dialect.isMisdirected(response))
        return { ResponseVerdict::Misdirected, "other_upstream" };
    if (dialect.provesNotRun(response))
        return response.isSuccess()
                ? ResponseAssessment { ResponseVerdict::Unusable, "success_that_did_not_run" }
                : ResponseAssessment { ResponseVerdict::NotRun, statusCause };
    if (response.isSuccess()) {
        if (!hasRequestId || response.headers.find(names.signature) == nullptr)
            return { ResponseVerdict::Unusable, "response_without_signature" };
        if (context.begunResponse != nullptr && !continues(response, *context.begunResponse))
            return { ResponseVerdict::Unusable, "response_of_another_kind" };
        return { ResponseVerdict::Success, {} };
    }
    // Callers repeat a request after such a status, whether or not it may run twice.
    if (promisesNotRun(response.status))
        return { ResponseVerdict::Unusable, "unproven_" + statusCause };
    return { ResponseVerdict::Failure, statusCause };
}

} // namespace Lavenderpick
