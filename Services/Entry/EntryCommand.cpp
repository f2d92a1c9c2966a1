#include "EntryCommand.h"

#include <iostream>

namespace Lavenderpick {

// FIXME: The subcommand is not implemented yet.
int runEntryCommand(int, char **)
{
    std::cerr << "not implemented\n";
    return 2;
}

} // namespace Lavenderpick
