#include "lavenderpick/Base/Error.h"
#include "platform/PlatformDialect.h"
#include "platform/RecordDecoder.h"

#include <string>

using namespace Lavenderpick;

// Rows of other writers must be refused, never crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    try {
        Platform::decodeConfiguration(text);
    } catch (const Error &) {
        // Expected for nearly all inputs.
    }
    Platform::decodeUpstream("i-1", text);
    HeaderList headers;
    headers.add("X-Token-Counts", text);
    Platform::PlatformDialect().generationSize(headers);
    return 0;
}
