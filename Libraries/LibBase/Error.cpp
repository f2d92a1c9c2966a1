#include "lavenderpick/Base/Error.h"

namespace Lavenderpick {

std::string_view toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSettings:
        return "invalid_settings";
    case ErrorKind::InvalidDocument:
        return "invalid_document";
    case ErrorKind::InvalidMessage:
        return "invalid_message";
    case ErrorKind::Unauthenticated:
        return "unauthenticated";
    case ErrorKind::Forbidden:
        return "forbidden";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::StoreUnavailable:
        return "store_unavailable";
    case ErrorKind::StoreOutcomeUnknown:
        return "store_outcome_unknown";
    case ErrorKind::UpstreamUnavailable:
        return "upstream_unavailable";
    case ErrorKind::UpstreamFailed:
        return "upstream_failed";
    case ErrorKind::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorKind::NotFound:
        return "not_found";
    }
    return "unknown";
}

Error::Error(ErrorKind kind, const std::string &message, const std::string &remedy)
    : std::runtime_error(message + ". " + remedy)
    , m_kind(kind)
    , m_remedy(remedy)
{ }

} // namespace Lavenderpick
