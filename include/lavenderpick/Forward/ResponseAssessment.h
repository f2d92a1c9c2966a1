#pragma once

#include "lavenderpick/Forward/RequestDialect.h"

#include <string>

namespace Lavenderpick {

/// What the head of an upstream's response says of the request.
enum class ResponseVerdict {
    Success,      ///< The body may be forwarded as the result.
    Failure,      ///< The upstream's own failure, which may be forwarded unchanged.
    NotRun,       ///< Proves that the request did not run and will not run.
    Misdirected,  ///< Not run, because another process has the address now.
    Unusable,     ///< Must not reach the caller and proves nothing: the request may have run.
    Unattributed, ///< As `Unusable`; it may also belong to an earlier request.
};

/// What is known of the exchange that a response belongs to.
struct ResponseContext
{
    /// Whether earlier requests were sent on the connection, so that a late copy of a response to
    /// one of them may arrive.
    bool connectionReused { false };
    /// Head of the response whose beginning the caller has already; null if it has none.
    const ResponseHead *begunResponse { nullptr };
};

struct ResponseAssessment
{
    ResponseVerdict verdict { ResponseVerdict::Unusable };
    /// Why the response is not forwarded as a result, for logs and metrics; empty for a success.
    std::string cause {};

    bool operator==(const ResponseAssessment &) const = default;

    /// Decides what a response means, for requests of all kinds. The response must not name another
    /// request. Statuses that are no final ones don't get here, see `HttpParser`.
    static ResponseAssessment of(const ResponseHead &response, const ResponseContext &context,
                                 const RequestDialect &dialect);
};

/// Whether callers take the status as a promise that the request has not run and never will.
bool promisesNotRun(int status);

} // namespace Lavenderpick
