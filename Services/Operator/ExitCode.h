#pragma once

#include "lavenderpick/Base/Error.h"

namespace Lavenderpick {

/// Exit codes of the operator's tool; docs/operators.md lists them for scripts.
enum class ExitCode {
    Success = 0,
    Usage = 2,       ///< The command line is wrong.
    Invalid = 3,     ///< Settings, a file or a name is wrong.
    Conflict = 4,    ///< Another edit came first; the output names the version to start from.
    Unavailable = 5, ///< The store or a process did not respond.
    Forbidden = 6,   ///< The operator's key does not allow this.
};

/// The exit code for a failure of that kind.
ExitCode exitCodeFor(ErrorKind kind);

} // namespace Lavenderpick
