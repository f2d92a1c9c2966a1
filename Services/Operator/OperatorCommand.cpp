#include "OperatorCommand.h"

#include <iostream>

namespace Lavenderpick {

// FIXME: The subcommand is not implemented yet.
int runOperatorCommand(int, char **)
{
    std::cerr << "not implemented\n";
    return 2;
}

} // namespace Lavenderpick
