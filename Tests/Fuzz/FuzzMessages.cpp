#include "RoundTrip.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Problem.h"
#include "lavenderpick/Protocol/AttemptMessages.h"
#include "lavenderpick/Protocol/CallMessages.h"

#include <cstdint>
#include <cstdlib>

using namespace Lavenderpick;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    nlohmann::json json;
    try {
        json = parseJson({ reinterpret_cast<const char *>(data), size }, "message");
    } catch (const Error &) {
        return 0;
    }
    checkRoundTrip<AttemptRequest>(json);
    checkRoundTrip<AttemptEvent>(json);
    checkRoundTrip<ReservationRequest>(json);
    checkRoundTrip<SegmentRequest>(json);
    checkRoundTrip<CallRequest>(json);
    checkRoundTrip<CallAnswer>(json);
    checkRoundTrip<Problem>(json);
    return 0;
}
