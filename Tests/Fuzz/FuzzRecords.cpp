#include "RoundTrip.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Platform/VmList.h"
#include "lavenderpick/Records/CallRecord.h"
#include "lavenderpick/Records/JobRecord.h"

#include <cstdint>
#include <cstdlib>

using namespace Lavenderpick;

// Rows that another release or a damaged store wrote must parse or give `Error`.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    nlohmann::json json;
    try {
        json = parseJson({ reinterpret_cast<const char *>(data), size }, "row");
    } catch (const Error &) {
        return 0;
    }
    checkRoundTrip<CallRecord>(json);
    checkRoundTrip<JobRecord>(json);
    checkRoundTrip<Vm>(json);
    return 0;
}
