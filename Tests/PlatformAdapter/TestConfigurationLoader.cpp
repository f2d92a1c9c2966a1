#include "GeneratedConfiguration.h"
#include "lavenderpick/Base/Base64.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Forward/ConfigurationLoader.h"
#include "lavenderpick/Forward/StorePosition.h"
#include "platform/RecordDecoder.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace Lavenderpick;

namespace {

struct CountingDecoder : ConfigurationDecoder
{
    mutable int elements { 0 };

    ServingConfigurationParts decodeConfiguration(std::string_view text) const override
    {
        return Platform::decodeConfiguration(text);
    }
    ConfigurationElement decodeElement(std::string_view member,
                                       std::string_view text) const override
    {
        ++elements;
        return Platform::decodeElement(member, text);
    }
    std::string decodeTransfer(std::string_view piece) const override { return fromBase64(piece); }
};

/// Each reading of the time takes a millisecond.
struct SlowClock : Clock
{
    mutable TimePoint time { Seconds(1) };

    TimePoint now() const override { return time += Milliseconds(1); }
    std::int64_t wallSeconds() const override { return 0; }
};

/// A loader with the decoder of the platform.
struct Fixture
{
    ManualClock clock;
    CountingDecoder decoder;
    ConfigurationLoader loader { clock, decoder };
    std::shared_ptr<const ServingConfiguration> inForce;

    ConfigurationLoader::Result finish()
    {
        while (true) {
            if (auto result = loader.step()) {
                if (result->configuration)
                    inForce = result->configuration;
                return *std::move(result);
            }
        }
    }

    ConfigurationLoader::Result load(std::int64_t revision, const std::string &text)
    {
        loader.offer({ .revision = revision, .text = text });
        return finish();
    }
};

/// Generates configurations with all kinds of values, and damages some of their texts.
class TextGenerator
{
public:
    explicit TextGenerator(unsigned seed)
        : m_random(seed)
    { }

    std::string next()
    {
        if (m_text.empty() || chance(4))
            m_json = makeLargeConfiguration(static_cast<int>(number(6)));
        change();
        m_text = m_json.dump(chance(4) ? 2 : -1);
        std::string text = m_text;
        if (chance(3))
            damage(text);
        return text;
    }

private:
    std::size_t number(std::size_t end) { return m_random() % end; }
    bool chance(std::size_t times) { return number(times) == 0; }

    nlohmann::json value()
    {
        static const std::vector<std::string> texts {
            "7",
            "-1",
            "\"\"",
            "null",
            "true",
            "[]",
            "{}",
            "1e400",
            "{\"name\":\"x\"}",
            "[{}]",
            "\"engines\"",
            "[[[1]]]",
            "2.5",
            "\"\\u00e9[\\\"{\"",
        };
        if (chance(8))
            return std::string(2'000, 'y');
        if (chance(4)) { // Near the limit of nesting.
            const std::size_t depth = 58 + number(10);
            return nlohmann::json::parse(std::string(depth, '[') + std::string(depth, ']'));
        }
        return nlohmann::json::parse(texts[number(texts.size())], nullptr, false);
    }

    void change()
    {
        static const std::vector<const char *> fields { "routes",  "services", "tenants", "limits",
                                                        "version", "other",    "r\"o" };
        m_json["version"] = number(100);
        if (chance(4))
            m_json[fields[number(fields.size())]] = value();
        for (const char *field : { "routes", "services", "tenants" }) {
            if (!m_json.contains(field) || !m_json[field].is_array() || m_json[field].empty())
                continue;
            nlohmann::json &element = m_json[field][number(m_json[field].size())];
            if (chance(3))
                m_json[field].push_back(element);
            else if (element.is_object() && chance(4))
                element[element.empty() ? "a" : element.begin().key()] = value();
            else if (element.is_object() && chance(2))
                element["name"] = "name-" + std::to_string(number(1'000));
            if (m_json[field].size() > 12)
                m_json[field].erase(0);
        }
    }

    void damage(std::string &text)
    {
        static const std::vector<std::string> insertions {
            "\"",
            "{",
            "}",
            "[",
            "]",
            ",",
            ":",
            "\\",
            " ",
            "1",
            "\xff",
            std::string(1, '\0'),
            "\"version\":1,",
            "\"routes\":[],",
            "\"name\":\"x\",",
            std::string(70, '['),
            "[\"x\"],",
            "\xef\xbb\xbf",
            "{},",
            "null,",
        };
        const std::size_t place = number(text.size());
        if (chance(4))
            text.resize(place);
        else if (chance(3))
            text.erase(place, 1 + number(3));
        else if (chance(2)) {
            const std::size_t comma = text.find(',', place);
            text.insert(comma == std::string::npos ? 1 : comma + 1,
                        insertions[number(insertions.size())]);
        } else
            text.insert(place, insertions[number(insertions.size())]);
    }

    std::minstd_rand m_random;
    nlohmann::json m_json;
    std::string m_text;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationLoaderTests, Fixture)

// The splitter or the reuse of elements may accept what the whole parser rejects, or the reverse.
BOOST_AUTO_TEST_CASE(theResultIsThatOfDecodingTheWholeText)
{
    int valid = 0;
    int invalid = 0;
    std::size_t reused = 0;
    for (unsigned seed = 0; seed < 40; ++seed) {
        TextGenerator generator(seed);
        Fixture gateway;
        std::string textInForce;
        for (std::int64_t revision = 1; revision <= 150; ++revision) {
            const std::string text = generator.next();
            std::unique_ptr<ServingConfiguration> expected;
            try {
                expected =
                        std::make_unique<ServingConfiguration>(Platform::decodeConfiguration(text));
                textInForce = text;
            } catch (const Error &) { }
            ++(expected ? valid : invalid);
            const ConfigurationLoader::Result result = gateway.load(revision, text);
            reused += result.reusedElements;
            BOOST_REQUIRE_MESSAGE(static_cast<bool>(result.configuration) == (expected != nullptr),
                                  text + "\n" + result.error);
            if (expected)
                BOOST_REQUIRE_MESSAGE(*result.configuration == *expected, text);
            BOOST_REQUIRE_EQUAL(gateway.loader.text(), textInForce);
        }
    }
    // All of it occurs often.
    BOOST_CHECK_GT(valid, 1'000);
    BOOST_CHECK_GT(invalid, 1'000);
    BOOST_CHECK_GT(reused, 1'000);
}

// The text of an element can be valid in two arrays and means something else in each.
BOOST_AUTO_TEST_CASE(anElementThatMovesToAnotherArrayIsDecodedAgain)
{
    const std::string element = R"([{"name":"a","apiKeys":["k"]}])";
    std::int64_t revision = 0;
    for (const std::string &text :
         { R"({"version":1,"routes":[],"services":)" + element + R"(,"tenants":[]})",
           R"({"version":2,"routes":[],"services":[],"tenants":)" + element + "}" }) {
        BOOST_REQUIRE(load(++revision, text).configuration);
        BOOST_CHECK(*inForce == ServingConfiguration(Platform::decodeConfiguration(text)));
    }
}

// A change of one route was as expensive as the first configuration, and held up all callers.
BOOST_AUTO_TEST_CASE(aSliceIsBoundedAndOnlyChangedElementsAreDecoded)
{
    nlohmann::json json = makeLargeConfiguration();
    loader.offer({ .revision = 1, .text = toBase64(json.dump()), .encoded = true });
    int previous = 0;
    while (!loader.text().size()) {
        const auto result = loader.step();
        BOOST_REQUIRE_LE(decoder.elements - previous, 32);
        previous = decoder.elements;
        if (result)
            inForce = result->configuration;
    }
    BOOST_CHECK_EQUAL(loader.text(), json.dump());
    BOOST_CHECK_EQUAL(decoder.elements, 1'760 + 1 + 24);
    const std::shared_ptr<const ServingConfiguration> first = inForce;
    const Route *kept = first->findRoute("host-7.example", "/path-7/x");
    const Route *changed = first->findRoute("host-8.example", "/path-8/x");

    json["version"] = 2;
    json["routes"][8]["sloMs"] = 400;
    const ConfigurationLoader::Result result = load(2, json.dump());
    BOOST_REQUIRE(result.configuration);
    BOOST_CHECK_EQUAL(result.decodedElements, 1);
    BOOST_CHECK_EQUAL(inForce->findRoute("host-7.example", "/path-7/x"), kept);
    BOOST_CHECK(inForce->findRoute("host-8.example", "/path-8/x")->objective == Milliseconds(400));

    // A request that began with the first configuration goes on with it.
    load(3, makeLargeConfiguration(3).dump());
    while (loader.isBusy())
        loader.step();
    BOOST_CHECK_EQUAL(first->findRoute("host-8.example", "/path-8/x"), changed);
    BOOST_CHECK(changed->objective == Milliseconds(300));
    BOOST_CHECK(*first
                == ServingConfiguration(
                        Platform::decodeConfiguration(makeLargeConfiguration().dump())));
}

// Without the limit of time, a slice on a tenth of a core exceeds callers' gap objectives.
BOOST_AUTO_TEST_CASE(aSliceEndsWhenItsTimeIsUp)
{
    const SlowClock slowClock;
    ConfigurationLoader slowLoader(slowClock, decoder);
    slowLoader.offer({ .revision = 1, .text = makeLargeConfiguration(100).dump() });
    int previous = 0;
    while (!slowLoader.step()) {
        BOOST_REQUIRE_LE(decoder.elements - previous, 2);
        previous = decoder.elements;
    }
    BOOST_CHECK_EQUAL(slowLoader.revision(), 1);
}

// With a new revision in each turn, a loader that begins anew never finishes one.
BOOST_AUTO_TEST_CASE(frequentRevisionsDoNotPreventEachOther)
{
    nlohmann::json json = makeLargeConfiguration(200);
    int finished = 0;
    std::int64_t offered = 0;
    while (offered < 300) {
        json["version"] = ++offered;
        json["routes"][static_cast<std::size_t>(offered) % 200]["priority"] = offered;
        loader.offer({ .revision = offered, .text = json.dump() });
        const std::int64_t before = loader.revision();
        if (const auto result = loader.step()) {
            BOOST_REQUIRE(result->configuration);
            BOOST_REQUIRE_GT(result->revision, before);
            BOOST_REQUIRE_EQUAL(result->configuration->version(), result->revision);
            ++finished;
        }
    }
    BOOST_CHECK_GE(finished, 10);
    while (loader.isBusy())
        loader.step();
    BOOST_CHECK_EQUAL(loader.revision(), 300);
    BOOST_CHECK_EQUAL(loader.text(), json.dump());
}

// An older revision of a peer or a text that can't be decoded must not replace the one in force.
BOOST_AUTO_TEST_CASE(olderAndInvalidRevisionsLeaveTheOneInForce)
{
    const std::string text = makeLargeConfiguration(3).dump();
    BOOST_REQUIRE(load(5, text).configuration);
    for (const std::int64_t revision : { 4, 5 }) {
        BOOST_CHECK(!loader.wants(revision));
        loader.offer({ .revision = revision, .text = makeLargeConfiguration(1).dump() });
    }
    while (loader.isBusy())
        BOOST_CHECK(!loader.step());

    const std::string truncated = text.substr(0, text.size() / 2);
    BOOST_CHECK(!load(7, truncated).error.empty());
    const int elements = decoder.elements;
    loader.offer({ .revision = 7, .text = truncated });
    while (loader.isBusy())
        BOOST_CHECK(!loader.step());
    BOOST_CHECK_EQUAL(decoder.elements, elements);
    BOOST_CHECK_EQUAL(loader.revision(), 5);
    BOOST_CHECK_EQUAL(loader.text(), text);

    BOOST_CHECK(load(8, makeLargeConfiguration(4).dump()).configuration);
}

// A text decoded piece by piece could accept padding before its end.
// Guards against an older configuration that comes into force again, since the store came back from
// an older copy.
BOOST_AUTO_TEST_CASE(anOlderVersionAtALaterPositionLeavesTheOneInForce)
{
    const std::string routes = R"(,"routes":[],"services":[]})";
    const auto position = [](std::int64_t era, std::int64_t revision) {
        return StorePosition { era, revision }.toNumber();
    };
    load(position(1, 90), R"({"version":7)" + routes);
    for (const std::int64_t revision : { 80, 81 }) {
        const auto result = load(position(2, revision), R"({"version":5)" + routes);
        BOOST_CHECK(!result.configuration);
        BOOST_CHECK(result.error.empty());
        BOOST_CHECK(result.keptVersion == 7);
        BOOST_CHECK_EQUAL(inForce->version(), 7);
        BOOST_CHECK_EQUAL(loader.revision(), position(2, revision));
        BOOST_CHECK(loader.text().find("\"version\":7") != std::string::npos);
        BOOST_CHECK(!loader.wants(position(2, revision)));
    }
    BOOST_CHECK(load(position(2, 82), R"({"version":7)" + routes).configuration);
    // Within an era the operator's last word holds.
    BOOST_CHECK(load(position(2, 83), R"({"version":6)" + routes).configuration);
}

BOOST_AUTO_TEST_CASE(invalidTransferEncodingIsRejected)
{
    const std::string text = makeLargeConfiguration(90).dump();
    const std::string encoded = toBase64(text);
    BOOST_REQUIRE_GT(encoded.size(), 3 * 8'192);
    std::int64_t revision = 0;
    for (const std::string &invalid :
         { toBase64(text.substr(0, 6'143)) + toBase64(text.substr(6'143)),
           toBase64(text.substr(0, 100)) + encoded, encoded.substr(0, encoded.size() - 1),
           "?" + encoded, std::string() }) {
        loader.offer({ .revision = ++revision, .text = invalid, .encoded = true });
        BOOST_CHECK(!finish().configuration);
    }
    loader.offer({ .revision = ++revision, .text = encoded, .encoded = true });
    BOOST_CHECK(finish().configuration);
    BOOST_CHECK_EQUAL(loader.text(), text);
}

BOOST_AUTO_TEST_SUITE_END()
