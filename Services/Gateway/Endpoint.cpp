#include "Services/Gateway/Endpoint.h"

#include "lavenderpick/Base/Error.h"

#include <charconv>

namespace Lavenderpick {

asio::ip::tcp::endpoint parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    unsigned short port = 0;
    asio::error_code error;
    asio::ip::address host;
    if (colon != std::string::npos) {
        const char *end = address.data() + address.size();
        const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
        host = asio::ip::make_address(address.substr(0, colon), error);
        if (parsed.ec == std::errc() && parsed.ptr == end && !error)
            return { host, port };
    }
    throw Error(ErrorKind::InvalidMessage, "'" + address + "' is not an address",
                "Use an IP address and a port, such as 10.1.0.40:8080.");
}

} // namespace Lavenderpick
