#pragma once

#include <string>
#include <string_view>

namespace Lavenderpick {

/// The text for the path or the query of a URL (RFC 3986, 2.1): all bytes but unreserved characters
/// and slashes are encoded. A reader that takes '+' for a space and '&' for a separator gets the
/// same text back.
std::string percentEncoded(std::string_view text);

} // namespace Lavenderpick
