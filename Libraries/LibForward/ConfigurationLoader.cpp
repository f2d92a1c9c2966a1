#include "lavenderpick/Forward/ConfigurationLoader.h"

#include "lavenderpick/Forward/StorePosition.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Forward/JsonSplitter.h"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>
#include <xxhash.h>

namespace Lavenderpick {

namespace {

// Between two readings of the clock. Both take well below 0.2 ms on a whole core.
constexpr std::size_t scannedBytes = 16'384;
constexpr std::size_t transferBytes = 8'192;

SharedConfigurationElement share(ConfigurationElement element)
{
    return std::visit(
            [](auto &&value) -> SharedConfigurationElement {
                using Value = std::remove_cvref_t<decltype(value)>;
                if constexpr (std::is_same_v<Value, std::monostate>)
                    return value;
                else
                    return std::make_shared<const Value>(std::forward<decltype(value)>(value));
            },
            std::move(element));
}

} // namespace

/// One revision with its text and what was made of it so far.
struct ConfigurationLoader::Revision
{
    /// An element and where its text is.
    struct Element
    {
        std::size_t offset { 0 };
        std::size_t size { 0 };
        std::size_t member { 0 }; ///< Index into `members`.
        SharedConfigurationElement value;
    };

    explicit Revision(ConfigurationSnapshot snapshot)
        : number(snapshot.revision)
        , text(std::move(snapshot.text))
        , encoded(snapshot.encoded)
    { }

    std::string_view textOf(const Element &element) const
    {
        return std::string_view(text).substr(element.offset, element.size);
    }

    std::size_t memberIndex(std::string_view name)
    {
        if (members.empty() || members.back() != name)
            members.emplace_back(name);
        return members.size() - 1;
    }

    std::int64_t number;
    std::string text;
    bool encoded;
    // An encoded text is decoded in place, so that it is in memory once.
    std::size_t decodedFrom { 0 }; ///< Size of the encoded text that was decoded.
    std::size_t decodedTo { 0 };   ///< Size of what it was decoded to.
    std::optional<JsonSplitter> splitter;
    bool scanned { false };
    std::vector<std::string> members;
    std::vector<Element> elements;
    std::unordered_map<std::uint64_t, std::size_t> elementsByHash; ///< Of their text.
    std::shared_ptr<ServingConfiguration> configuration {
        std::make_shared<ServingConfiguration>()
    };
    TimePoint startedAt {};
    std::size_t slices { 0 };
    std::size_t reusedElements { 0 };
};

ConfigurationLoader::ConfigurationLoader(const Clock &clock, const ConfigurationDecoder &decoder,
                                         const SliceLimits &limits)
    : m_clock(clock)
    , m_decoder(decoder)
    , m_limits(limits)
{ }

ConfigurationLoader::~ConfigurationLoader() = default;

bool ConfigurationLoader::wants(std::int64_t number) const
{
    return number > revision() && number != m_invalidRevision
            && (!m_processing || number > m_processing->number)
            && (!m_waiting || number > m_waiting->revision);
}

void ConfigurationLoader::offer(ConfigurationSnapshot snapshot)
{
    if (wants(snapshot.revision))
        m_waiting = std::move(snapshot);
}

bool ConfigurationLoader::isBusy() const
{
    return m_processing || m_waiting || m_retired;
}

const std::string &ConfigurationLoader::text() const
{
    static const std::string none;
    return m_inForce ? m_inForce->text : none;
}

std::int64_t ConfigurationLoader::revision() const
{
    return m_inForce ? m_inForce->number : 0;
}

bool ConfigurationLoader::isOlderCopy(const Revision &revision) const
{
    if (!m_inForce || revision.configuration->version() >= m_inForce->configuration->version())
        return false;
    return m_keepsNewerVersion
            || StorePosition::fromNumber(revision.number).era
            > StorePosition::fromNumber(m_inForce->number).era;
}

std::optional<ConfigurationLoader::Result> ConfigurationLoader::step()
{
    if (m_retired) {
        m_retired.reset();
        return std::nullopt;
    }
    if (!m_processing) {
        if (!m_waiting)
            return std::nullopt;
        m_processing = std::make_unique<Revision>(*std::exchange(m_waiting, std::nullopt));
        m_processing->startedAt = m_clock.now();
    }
    ++m_processing->slices;
    Result result { .revision = m_processing->number };
    try {
        if (!processSlice(*m_processing))
            return std::nullopt;
        result.configuration = m_processing->configuration;
        m_keepsNewerVersion = isOlderCopy(*m_processing);
        if (m_keepsNewerVersion) {
            // As of the newer position, so that peers with the older text don't offer it again.
            m_inForce->number = m_processing->number;
            result.keptVersion = m_inForce->configuration->version();
            result.configuration = nullptr;
        }
    } catch (const std::exception &error) {
        result.error = error.what();
        m_invalidRevision = m_processing->number;
    }
    result.reusedElements = m_processing->reusedElements;
    result.decodedElements = m_processing->elements.size() - m_processing->reusedElements;
    result.slices = m_processing->slices;
    result.elapsed = m_clock.now() - m_processing->startedAt;
    m_retired = std::move(m_processing);
    if (result.configuration)
        std::swap(m_retired, m_inForce);
    return result;
}

bool ConfigurationLoader::processSlice(Revision &revision)
{
    const TimePoint end = m_clock.now() + m_limits.time;
    const std::size_t maximumElements = revision.elements.size() + m_limits.elements;
    do {
        if (revision.encoded) {
            decodeTransfer(revision);
            continue;
        }
        if (revision.scanned) {
            finish(revision);
            return true;
        }
        if (!revision.splitter)
            revision.splitter.emplace(revision.text);
        JsonSplitter &splitter = *revision.splitter;
        switch (splitter.next(scannedBytes)) {
        case JsonSplitter::Result::Piece:
            addPiece(revision, splitter.piece());
            break;
        case JsonSplitter::Result::Paused:
            break;
        case JsonSplitter::Result::Finished:
            // What is left takes a slice of its own, since it is parsed at once.
            revision.scanned = true;
            return false;
        }
    } while (revision.elements.size() < maximumElements && m_clock.now() < end);
    return false;
}

void ConfigurationLoader::decodeTransfer(Revision &revision) const
{
    const std::string_view piece =
            std::string_view(revision.text).substr(revision.decodedFrom, transferBytes);
    const std::string decoded = m_decoder.decodeTransfer(piece);
    revision.decodedFrom += piece.size();
    const bool isLast = revision.decodedFrom == revision.text.size();
    if (decoded.size() > piece.size() || (!isLast && decoded.size() != piece.size() / 4 * 3))
        throw Error(ErrorKind::InvalidMessage, "The encoded text has padding before its end",
                    "Correct the text.");
    decoded.copy(revision.text.data() + revision.decodedTo, decoded.size());
    revision.decodedTo += decoded.size();
    if (!isLast)
        return;
    revision.text.resize(revision.decodedTo);
    revision.text.shrink_to_fit();
    revision.encoded = false;
}

void ConfigurationLoader::addPiece(Revision &revision, const JsonSplitter::Piece &piece)
{
    if (!piece.isElement) {
        parseJson(piece.text, "value", { .outerDepth = 1, .strict = true });
        return;
    }
    const std::uint64_t hash = XXH3_64bits(piece.text.data(), piece.text.size());
    Revision::Element element {
        .offset = static_cast<std::size_t>(piece.text.data() - revision.text.data()),
        .size = piece.text.size(),
        .member = revision.memberIndex(piece.member),
    };
    if (const SharedConfigurationElement *known = findInForce(hash, piece)) {
        element.value = *known;
        ++revision.reusedElements;
    } else {
        element.value = share(m_decoder.decodeElement(piece.member, piece.text));
    }
    std::visit(
            [&](const auto &value) {
                if constexpr (!std::is_same_v<std::remove_cvref_t<decltype(value)>, std::monostate>)
                    revision.configuration->add(value);
            },
            element.value);
    revision.elementsByHash.emplace(hash, revision.elements.size());
    revision.elements.push_back(std::move(element));
}

const SharedConfigurationElement *
ConfigurationLoader::findInForce(std::uint64_t hash, const JsonSplitter::Piece &piece) const
{
    if (!m_inForce)
        return nullptr;
    const auto found = m_inForce->elementsByHash.find(hash);
    if (found == m_inForce->elementsByHash.end())
        return nullptr;
    const Revision::Element &element = m_inForce->elements[found->second];
    const bool isSame = m_inForce->textOf(element) == piece.text
            && m_inForce->members[element.member] == piece.member;
    return isSame ? &element.value : nullptr;
}

void ConfigurationLoader::finish(Revision &revision) const
{
    // Its arrays are empty, so that only their types and the other fields are decoded here.
    const ServingConfigurationParts general =
            m_decoder.decodeConfiguration(revision.splitter->remainder());
    revision.configuration->setGeneral(general.version, general.limits,
                                       general.customers.has_value());
    revision.splitter.reset();
}

} // namespace Lavenderpick
