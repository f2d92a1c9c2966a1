#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace Lavenderpick {

/// Appends values in binary form. Numbers take seven bits a byte, the lowest first; texts follow
/// their length.
class CompactWriter
{
public:
    void writeByte(std::uint8_t byte) { m_bytes.push_back(static_cast<char>(byte)); }
    void writeUnsigned(std::uint64_t number);

    /// Numbers near zero take few bytes, whatever their sign.
    void writeSigned(std::int64_t number);

    void writeText(std::string_view text);

    void reserve(std::size_t bytes) { m_bytes.reserve(bytes); }
    void clear() { m_bytes.clear(); }
    const std::string &bytes() const { return m_bytes; }
    std::string takeBytes() { return std::move(m_bytes); }

private:
    std::string m_bytes;
};

/// Reads what a `CompactWriter` wrote. All functions throw `Error` of kind InvalidMessage if the
/// bytes end too early or a number is out of range. Texts are parts of the bytes.
class CompactReader
{
public:
    explicit CompactReader(std::string_view bytes)
        : m_bytes(bytes)
    { }

    std::uint8_t readByte();
    std::uint64_t readUnsigned(std::uint64_t maximum);

    /// A number from `-limit` to `limit`.
    std::int64_t readSigned(std::int64_t limit);

    std::string_view readText();

    bool atEnd() const { return m_bytes.empty(); }

private:
    std::uint64_t readNumber();

    std::string_view m_bytes; ///< Not read yet.
};

} // namespace Lavenderpick
