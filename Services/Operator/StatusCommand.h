#pragma once

#include "Services/Operator/ExitCode.h"

namespace Lavenderpick {

/// Runs `status`. Throws `Error`.
ExitCode runStatusCommand(int argc, char **argv);

} // namespace Lavenderpick
