#pragma once

#include "Services/Operator/ExitCode.h"

namespace Lavenderpick {

/// Runs `explain`. Throws `Error`.
ExitCode runExplainCommand(int argc, char **argv);

} // namespace Lavenderpick
