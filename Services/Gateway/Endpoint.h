#pragma once

#include <asio.hpp>
#include <string>

namespace Lavenderpick {

/// Parses `host:port`. Throws `Error` of kind InvalidMessage.
asio::ip::tcp::endpoint parseEndpoint(const std::string &address);

} // namespace Lavenderpick
