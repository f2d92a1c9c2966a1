#include "ServerCommands.h"

#include <array>
#include <iostream>
#include <string_view>

namespace {

struct StandIn
{
    std::string_view name;
    int (*run)(int argc, char **argv);
};

constexpr std::array standIns {
    StandIn { "engine", Lavenderpick::StandIns::runEngineCommand },
    StandIn { "platform", Lavenderpick::StandIns::runPlatformCommand },
    StandIn { "service", Lavenderpick::StandIns::runServiceCommand },
};

} // namespace

int main(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    for (const StandIn &standIn : standIns) {
        if (standIn.name == name)
            return standIn.run(argc - 1, argv + 1);
    }
    std::cerr << "Usage: lavenderpick-standins";
    for (const StandIn &standIn : standIns)
        std::cerr << (&standIn == standIns.data() ? " " : "|") << standIn.name;
    std::cerr << " [options]\n'--help' after a name describes its options.\n";
    return 2;
}
