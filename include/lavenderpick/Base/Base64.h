#pragma once

#include <string>
#include <string_view>

namespace Lavenderpick {

/// Base64 with the standard alphabet and padding.
std::string toBase64(std::string_view bytes);

/// Returns an empty string for invalid base64.
std::string fromBase64(std::string_view text);

} // namespace Lavenderpick
