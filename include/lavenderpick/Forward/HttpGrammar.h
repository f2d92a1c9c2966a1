#pragma once

#include <string>
#include <string_view>

namespace Lavenderpick {

/// Whether the text may be a field value (RFC 9110, 5.5): no control character but a tab.
bool isFieldValue(std::string_view text);

/// Returns the text if it may be a field value. Throws `Error` of kind InvalidMessage that names
/// `field`, of a row or a message, if not.
std::string requireFieldValue(std::string text, std::string_view field);

/// Whether the text is a request target in origin form: a path, and perhaps a query, of visible
/// ASCII characters. Some servers split a request line at white space beyond ASCII.
bool isOriginForm(std::string_view text);

} // namespace Lavenderpick
