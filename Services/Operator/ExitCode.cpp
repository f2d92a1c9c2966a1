#include "Services/Operator/ExitCode.h"

namespace Lavenderpick {

ExitCode exitCodeFor(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSettings:
    case ErrorKind::InvalidDocument:
    case ErrorKind::InvalidMessage:
    case ErrorKind::NotFound:
        return ExitCode::Invalid;
    case ErrorKind::Conflict:
        return ExitCode::Conflict;
    case ErrorKind::Unauthenticated:
    case ErrorKind::Forbidden:
        return ExitCode::Forbidden;
    case ErrorKind::StoreUnavailable:
    case ErrorKind::StoreOutcomeUnknown:
    case ErrorKind::UpstreamUnavailable:
    case ErrorKind::UpstreamFailed:
    case ErrorKind::DeadlineExceeded:
        return ExitCode::Unavailable;
    }
    return ExitCode::Unavailable;
}

} // namespace Lavenderpick
