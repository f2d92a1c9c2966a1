#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderpick {

/// Whether two header names are equal, ignoring case.
bool equalHeaderNames(std::string_view left, std::string_view right);

struct HeaderField
{
    std::string name;
    std::string value;

    bool operator==(const HeaderField &) const = default;
};

/// The header fields of a message, in order.
class HeaderList
{
public:
    void add(std::string name, std::string value);

    /// The value of the first field with this name, or null.
    const std::string *find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    void removeAll(std::string_view name);

    const std::vector<HeaderField> &fields() const { return m_fields; }

    bool operator==(const HeaderList &) const = default;

private:
    std::vector<HeaderField> m_fields;
};

/// How the end of a message body is determined.
enum class BodyFraming {
    None,
    Length,
    Chunked,
    UntilClose,
};

struct RequestHead
{
    std::string method;
    std::string target; ///< Path and query as sent.
    HeaderList headers;
    BodyFraming framing { BodyFraming::None };
    std::uint64_t contentLength { 0 };
    bool keepAlive { true };
    bool acceptsChunked { true }; ///< HTTP/1.1 or later.

    /// The target without its query.
    std::string_view path() const;

    /// The value of the Host field without its port.
    std::string_view host() const;

    bool operator==(const RequestHead &) const = default;
};

struct ResponseHead
{
    int status { 0 };
    std::string reason;
    HeaderList headers;
    BodyFraming framing { BodyFraming::None };
    std::uint64_t contentLength { 0 };
    bool keepAlive { true };

    bool isSuccess() const { return status >= 200 && status < 300; }

    bool operator==(const ResponseHead &) const = default;
};

/// Whether a field applies to a single connection and must not be forwarded.
bool isHopByHop(std::string_view name);

/// Appends `headers` without the hop-by-hop fields, the fields that Connection lists, and
/// Content-Length.
void appendEndToEndHeaders(const HeaderList &headers, std::string &out);

/// Appends the header field that frames the body, if there is one.
void appendFraming(BodyFraming framing, std::uint64_t contentLength, std::string &out);

/// Appends a field. Bytes that would end it or the head are replaced by spaces (RFC 9110, 5.5):
/// names of upstreams and customers and ids of events are text that others wrote.
void appendField(std::string_view name, std::string_view value, std::string &out);

/// The first of `names` that occurs more than once, or that Connection names so that the next
/// recipient would not get it; null if there is none.
const std::string *findAmbiguousField(const HeaderList &headers,
                                      const std::vector<std::string> &names);

/// Appends `bytes` as one chunk of a chunked body; appends nothing if `bytes` is empty, since an
/// empty chunk would end the body.
void appendChunk(std::string_view bytes, std::string &out);

/// The chunk that ends a chunked body.
constexpr std::string_view lastChunk = "0\r\n\r\n";

/// The standard reason phrase of a status that this program generates itself.
std::string_view reasonPhrase(int status);

} // namespace Lavenderpick
