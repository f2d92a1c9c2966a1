#include "lavenderpick/Forward/HttpGrammar.h"

#include "lavenderpick/Base/Error.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

constexpr char deleteCharacter = '\x7f';

bool isTokenCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9')
            || std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

bool isControlCharacter(char character)
{
    return static_cast<unsigned char>(character) < ' ' || character == deleteCharacter;
}

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, isTokenCharacter);
}

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
