#include "lavenderpick/Forward/HttpGrammar.h"

#include "lavenderpick/Base/Error.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

constexpr char deleteCharacter = '\x7f';

bool isControlCharacter(char character)
{
    return static_cast<unsigned char>(character) < ' ' || character == deleteCharacter;
}

} // namespace

bool isFieldValue(std::string_view text)
{
    return std::ranges::none_of(text, [](char character) {
        return character != '\t' && isControlCharacter(character);
    });
}

std::string requireFieldValue(std::string text, std::string_view field)
{
    if (!isFieldValue(text))
        throw Error(ErrorKind::InvalidMessage,
                    "Field '" + std::string(field) + "' holds a control character",
                    "Correct the row or the message; the text is sent in the head of requests.");
    return text;
}

bool isOriginForm(std::string_view text)
{
    return text.starts_with('/') && std::ranges::all_of(text, [](char character) {
               return character > ' ' && character < deleteCharacter;
           });
}

} // namespace Lavenderpick
