#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Settings/SettingsReader.h"

#include <cstdint>
#include <string>

using namespace Lavenderpick;

// Settings of any content must give values or one `Error`, never a crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    try {
        const SettingsReader reader = SettingsReader::fromText(
                std::string(reinterpret_cast<const char *>(data), size), "settings.yaml");
        const SettingsMap root = reader.root();
        root.text("name");
        root.choice("role", { "entry", "agent" });
        root.integer("port", { 1, 65'535 });
        root.number("share", { 0, 1 });
        root.duration("period", { Milliseconds(1), Seconds(60) });
        root.bytes("body", { 1, 1'000'000 });
        root.texts("peers");
        root.map("caps").integer("streams", { 0, 600 });
        for (const SettingsMap &map : root.maps("list"))
            map.flag("on");
        for (const auto &[name, map] : root.namedMaps("models"))
            map.text("version");
        reader.finish();
    } catch (const Error &) {
        return 0;
    }
    return 0;
}
