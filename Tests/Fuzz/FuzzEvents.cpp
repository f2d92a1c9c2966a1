#include "lavenderpick/Http/ServerSentEvents.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

using namespace Lavenderpick;

namespace {

std::vector<std::string> eventsOf(const std::vector<std::string_view> &pieces)
{
    ServerSentEventParser parser;
    std::vector<std::string> events;
    for (const std::string_view piece : pieces)
        parser.feed(piece, [&](std::string_view data) {
            events.emplace_back(data);
            return true;
        });
    return events;
}

} // namespace

// The same bytes must give the same events wherever the network splits them.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const std::size_t split = size == 0 ? 0 : data[0] % (size + 1);
    if (eventsOf({ bytes }) != eventsOf({ bytes.substr(0, split), bytes.substr(split) }))
        std::abort();
    return 0;
}
