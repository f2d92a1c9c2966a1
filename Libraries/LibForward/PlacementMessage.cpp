#include "lavenderpick/Forward/PlacementMessage.h"

#include "CompactBytes.h"
#include "lavenderpick/Base/Error.h"

#include <algorithm>
#include <limits>

namespace Lavenderpick {

namespace {

// Far above what gateways send, and far below what overflows a TimePoint or a sum in the ledger.
constexpr std::int64_t maximumTokens = 1'000'000'000'000;
constexpr std::int64_t maximumMs = 24 * 3'600'000;

constexpr std::uint8_t readyFlag = 1;
constexpr std::uint8_t groupsByZoneFlag = 2;
constexpr std::uint8_t storeResponseFlag = 4;

std::uint64_t clampTokens(std::int64_t tokens)
{
    return static_cast<std::uint64_t>(std::clamp<std::int64_t>(tokens, 0, maximumTokens));
}

std::uint64_t clampMs(std::int64_t milliseconds)
{
    return static_cast<std::uint64_t>(std::clamp<std::int64_t>(milliseconds, 0, maximumMs));
}

void writeTimeLeft(Duration left, CompactWriter &writer)
{
    writer.writeSigned(std::clamp(toMilliseconds(left), -maximumMs, maximumMs));
}

void writePlacement(const Placement &placement, TimePoint now, CompactWriter &writer)
{
    writer.writeUnsigned(clampTokens(placement.size.promptTokens));
    writer.writeUnsigned(clampTokens(placement.size.maximumOutputTokens));
    writer.writeUnsigned(clampMs(toMilliseconds(placement.gapObjective)));
    writeTimeLeft(placement.firstEventDue - now, writer);
    writeTimeLeft(placement.expires - now, writer);
    writer.writeUnsigned(placement.parts.size());
    for (const PlacedPart &part : placement.parts) {
        writer.writeText(part.upstream);
        writer.writeUnsigned(clampMs(static_cast<std::int64_t>(
                std::clamp<double>(part.prefillMs, 0, static_cast<double>(maximumMs)))));
        writer.writeUnsigned(clampTokens(part.kvCacheTokens));
    }
}

std::int64_t readTokens(CompactReader &reader)
{
    return static_cast<std::int64_t>(reader.readUnsigned(maximumTokens));
}

Milliseconds readMs(CompactReader &reader)
{
    return Milliseconds(reader.readUnsigned(maximumMs));
}

Milliseconds readTimeLeft(CompactReader &reader)
{
    return Milliseconds(reader.readSigned(maximumMs));
}

Placement readPlacement(CompactReader &reader, TimePoint now)
{
    Placement placement;
    placement.size.promptTokens = readTokens(reader);
    placement.size.maximumOutputTokens = readTokens(reader);
    placement.gapObjective = readMs(reader);
    placement.firstEventDue = now + readTimeLeft(reader);
    placement.expires = now + readTimeLeft(reader);
    // Grows with the parts that are there, so that a false count reserves no memory.
    const std::uint64_t parts = reader.readUnsigned(std::numeric_limits<std::uint64_t>::max());
    for (std::uint64_t index = 0; index < parts; ++index) {
        PlacedPart part { .upstream = std::string(reader.readText()) };
        part.prefillMs = static_cast<double>(readMs(reader).count());
        part.kvCacheTokens = readTokens(reader);
        part.decodes = index == 0;
        placement.parts.push_back(std::move(part));
    }
    return placement;
}

PlacementSender readSender(CompactReader &reader)
{
    PlacementSender sender;
    const std::uint8_t flags = reader.readByte();
    sender.report = { .gateway = reader.readText(),
                      .incarnation = reader.readText(),
                      .availabilityZone = reader.readText(),
                      .ready = (flags & readyFlag) != 0,
                      .groupsByZone = (flags & groupsByZoneFlag) != 0,
                      .compact = true };
    sender.configurationRevision = static_cast<std::int64_t>(
            reader.readUnsigned(std::numeric_limits<std::int64_t>::max()));
    if ((flags & storeResponseFlag) != 0)
        sender.storeResponseAge = readMs(reader);
    return sender;
}

void writeSender(const PlacementSender &sender, CompactWriter &writer)
{
    const PeerReport &report = sender.report;
    writer.writeByte((report.ready ? readyFlag : 0) | (report.groupsByZone ? groupsByZoneFlag : 0)
                     | (sender.storeResponseAge ? storeResponseFlag : 0));
    writer.writeText(report.gateway);
    writer.writeText(report.incarnation);
    writer.writeText(report.availabilityZone);
    writer.writeUnsigned(
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, sender.configurationRevision)));
    if (sender.storeResponseAge)
        writer.writeUnsigned(clampMs(toMilliseconds(*sender.storeResponseAge)));
}

[[noreturn]] void fail(const std::string &message)
{
    throw Error(ErrorKind::InvalidMessage, message, "Run the same version on all gateways.");
}

} // namespace

bool PlacementMessage::isBinary(std::string_view datagram)
{
    constexpr std::uint8_t typeMask = 0xc0;
    constexpr std::uint8_t continuationByte = 0x80;
    return !datagram.empty()
            && (static_cast<std::uint8_t>(datagram.front()) & typeMask) == continuationByte;
}

std::string PlacementMessage::encode(const PlacementSender &sender,
                                     std::span<const PlacementEvent> events, TimePoint now)
{
    constexpr std::size_t usualBytes = 256;
    CompactWriter writer;
    writer.reserve(usualBytes);
    writer.writeByte(version);
    writeSender(sender, writer);
    const auto encoded = events.first(std::min(events.size(), maximumEvents));
    writer.writeUnsigned(encoded.size());
    // The length before each event lets a receiver skip what only newer versions know.
    CompactWriter eventWriter;
    for (const PlacementEvent &event : encoded) {
        eventWriter.clear();
        eventWriter.writeByte(static_cast<std::uint8_t>(event.type));
        eventWriter.writeUnsigned(event.number);
        if (event.type == PlacementEvent::Type::Placed)
            writePlacement(event.placement, now, eventWriter);
        writer.writeText(eventWriter.bytes());
    }
    return writer.takeBytes();
}

void PlacementMessage::decode(std::string_view datagram, TimePoint now)
{
    events.clear();
    CompactReader reader(datagram);
    if (reader.readByte() != version)
        fail("binary datagram has an unknown version");
    sender = readSender(reader);
    const std::uint64_t count = reader.readUnsigned(maximumEvents);
    for (std::uint64_t index = 0; index < count; ++index) {
        CompactReader eventReader(reader.readText());
        const std::uint8_t type = eventReader.readByte();
        if (type < static_cast<std::uint8_t>(PlacementEvent::Type::Placed)
            || type > static_cast<std::uint8_t>(PlacementEvent::Type::Ended))
            continue;
        PlacementEvent &event = events.emplace_back();
        event.type = static_cast<PlacementEvent::Type>(type);
        event.number = eventReader.readUnsigned(std::numeric_limits<std::uint64_t>::max());
        if (event.type == PlacementEvent::Type::Placed)
            event.placement = readPlacement(eventReader, now);
    }
    if (!reader.atEnd())
        fail("binary datagram has bytes after its last event");
}

} // namespace Lavenderpick
