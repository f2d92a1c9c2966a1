#pragma once

#include "Services/Operator/ExitCode.h"

namespace Lavenderpick {

/// Runs `document check|show|apply|history|hash-key`. Throws `Error`.
ExitCode runDocumentCommand(int argc, char **argv);

} // namespace Lavenderpick
