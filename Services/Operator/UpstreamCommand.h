#pragma once

#include "Services/Operator/ExitCode.h"

namespace Lavenderpick {

/// Runs `upstream list|stop|move|cancel`. Throws `Error`.
ExitCode runUpstreamCommand(int argc, char **argv);

} // namespace Lavenderpick
