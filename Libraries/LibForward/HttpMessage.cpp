#include "lavenderpick/Forward/HttpMessage.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace Lavenderpick {

namespace {

char toLower(char character)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
}

/// Whether the comma-separated `list` contains `name`, ignoring case.
bool listContains(std::string_view list, std::string_view name)
{
    const auto isSpace = [](char character) { return character == ' ' || character == '\t'; };
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        std::string_view item = list.substr(0, comma);
        while (!item.empty() && isSpace(item.front()))
            item.remove_prefix(1);
        while (!item.empty() && isSpace(item.back()))
            item.remove_suffix(1);
        if (equalHeaderNames(item, name))
            return true;
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
    return false;
}

/// Whether a Connection field names the field, which then ends at this recipient.
bool isNamedByConnection(const HeaderList &headers, std::string_view name)
{
    return std::ranges::any_of(headers.fields(), [name](const HeaderField &field) {
        return equalHeaderNames(field.name, "Connection") && listContains(field.value, name);
    });
}

} // namespace

bool equalHeaderNames(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
            && std::equal(left.begin(), left.end(), right.begin(),
                          [](char a, char b) { return toLower(a) == toLower(b); });
}

void HeaderList::add(std::string name, std::string value)
{
    m_fields.push_back({ .name = std::move(name), .value = std::move(value) });
}

const std::string *HeaderList::find(std::string_view name) const
{
    for (const HeaderField &field : m_fields) {
        if (equalHeaderNames(field.name, name))
            return &field.value;
    }
    return nullptr;
}

std::size_t HeaderList::count(std::string_view name) const
{
    return static_cast<std::size_t>(
            std::count_if(m_fields.begin(), m_fields.end(), [name](const HeaderField &field) {
                return equalHeaderNames(field.name, name);
            }));
}

void HeaderList::removeAll(std::string_view name)
{
    std::erase_if(m_fields,
                  [name](const HeaderField &field) { return equalHeaderNames(field.name, name); });
}

std::string_view RequestHead::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view RequestHead::host() const
{
    const std::string *value = headers.find("Host");
    if (value == nullptr)
        return {};
    return std::string_view(*value).substr(0, value->find(':'));
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 8> names {
        "Connection",       "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Connection", "TE",         "Transfer-Encoding",
        "Trailer",          "Upgrade",
    };
    return std::any_of(names.begin(), names.end(), [name](std::string_view hopByHop) {
        return equalHeaderNames(name, hopByHop);
    });
}

void appendField(std::string_view name, std::string_view value, std::string &out)
{
    out.append(name).append(": ");
    const std::size_t start = out.size();
    out.append(value);
    std::replace_if(
            out.begin() + static_cast<std::ptrdiff_t>(start), out.end(),
            [](char character) {
                return character == '\r' || character == '\n' || character == '\0';
            },
            ' ');
    out.append("\r\n");
}

const std::string *findAmbiguousField(const HeaderList &headers,
                                      const std::vector<std::string> &names)
{
    const auto ambiguous = std::ranges::find_if(names, [&headers](const std::string &name) {
        return headers.count(name) > 1 || isNamedByConnection(headers, name);
    });
    return ambiguous == names.end() ? nullptr : &*ambiguous;
}

void appendEndToEndHeaders(const HeaderList &headers, std::string &out)
{
    for (const HeaderField &field : headers.fields()) {
        if (isHopByHop(field.name) || equalHeaderNames(field.name, "Content-Length")
            || isNamedByConnection(headers, field.name))
            continue;
        appendField(field.name, field.value, out);
    }
}

void appendFraming(BodyFraming framing, std::uint64_t contentLength, std::string &out)
{
    if (framing == BodyFraming::Length)
        appendField("Content-Length", std::to_string(contentLength), out);
    else if (framing == BodyFraming::Chunked)
        appendField("Transfer-Encoding", "chunked", out);
}

void appendChunk(std::string_view bytes, std::string &out)
{
    if (bytes.empty())
        return;
    std::array<char, 16> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    out.append(size.data(), end.ptr).append("\r\n").append(bytes).append("\r\n");
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Error";
    }
}

} // namespace Lavenderpick
