#include "lavenderpick/Base/PercentEncoding.h"

namespace Lavenderpick {

namespace {

bool isUnreserved(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
            || (byte >= '0' && byte <= '9') || byte == '-' || byte == '.' || byte == '_'
            || byte == '~';
}

} // namespace

std::string percentEncoded(std::string_view text)
{
    constexpr const char *digits = "0123456789ABCDEF";
    std::string result;
    for (const char byte : text) {
        // Keys and object names contain slashes, which paths and queries may hold as they are.
        if (isUnreserved(byte) || byte == '/') {
            result += byte;
            continue;
        }
        const auto value = static_cast<unsigned char>(byte);
        result += '%';
        result += digits[value / 16];
        result += digits[value % 16];
    }
    return result;
}

} // namespace Lavenderpick
