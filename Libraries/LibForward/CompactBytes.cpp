#include "CompactBytes.h"

#include "lavenderpick/Base/Error.h"

namespace Lavenderpick {

namespace {

constexpr unsigned int bitsPerByte = 7;
constexpr std::uint8_t valueMask = 0x7f;
constexpr std::uint8_t continuationBit = 0x80;

[[noreturn]] void fail(const char *message)
{
    throw Error(ErrorKind::InvalidMessage, message, "Run the same version on all gateways.");
}

} // namespace

void CompactWriter::writeUnsigned(std::uint64_t number)
{
    while (number > valueMask) {
        writeByte(static_cast<std::uint8_t>(number & valueMask) | continuationBit);
        number >>= bitsPerByte;
    }
    writeByte(static_cast<std::uint8_t>(number));
}

void CompactWriter::writeSigned(std::int64_t number)
{
    // The sign becomes the lowest bit.
    const auto bits = static_cast<std::uint64_t>(number);
    writeUnsigned((bits << 1) ^ (number < 0 ? ~std::uint64_t { 0 } : 0));
}

void CompactWriter::writeText(std::string_view text)
{
    writeUnsigned(text.size());
    m_bytes.append(text);
}

std::uint8_t CompactReader::readByte()
{
    if (m_bytes.empty())
        fail("binary datagram is truncated");
    const auto byte = static_cast<std::uint8_t>(m_bytes.front());
    m_bytes.remove_prefix(1);
    return byte;
}

std::uint64_t CompactReader::readNumber()
{
    constexpr unsigned int lastShift = 63; // Of the tenth byte, which has room for one bit.
    std::uint64_t number = 0;
    for (unsigned int shift = 0; shift <= lastShift; shift += bitsPerByte) {
        const std::uint8_t byte = readByte();
        if (shift == lastShift && byte > 1)
            break;
        number |= static_cast<std::uint64_t>(byte & valueMask) << shift;
        if ((byte & continuationBit) == 0)
            return number;
    }
    fail("number in binary datagram has more than 64 bits");
}

std::uint64_t CompactReader::readUnsigned(std::uint64_t maximum)
{
    const std::uint64_t number = readNumber();
    if (number > maximum)
        fail("number in binary datagram is out of range");
    return number;
}

std::int64_t CompactReader::readSigned(std::int64_t limit)
{
    const std::uint64_t bits = readNumber();
    const std::uint64_t sign = (bits & 1) == 0 ? 0 : ~std::uint64_t { 0 };
    const auto number = static_cast<std::int64_t>((bits >> 1) ^ sign);
    if (number < -limit || number > limit)
        fail("number in binary datagram is out of range");
    return number;
}

std::string_view CompactReader::readText()
{
    const std::uint64_t size = readNumber();
    if (size > m_bytes.size())
        fail("binary datagram is truncated");
    const std::string_view text = m_bytes.substr(0, size);
    m_bytes.remove_prefix(size);
    return text;
}

} // namespace Lavenderpick
