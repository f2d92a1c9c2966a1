#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Protocol/Datagrams.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace Lavenderpick;

// The tag is made right, so that the input reaches the parser behind it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string body(reinterpret_cast<const char *>(data), size);
    const std::string bytes = body + keyedTag("key", body).substr(0, datagramTagBytes);
    try {
        const Datagram datagram = decodeDatagram(bytes, "key");
        const std::string encoded = encodeDatagram(datagram, "key");
        if (encoded.size() <= maximumDatagramBytes && !(decodeDatagram(encoded, "key") == datagram))
            std::abort();
    } catch (const Error &) {
        return 0;
    }
    return 0;
}
