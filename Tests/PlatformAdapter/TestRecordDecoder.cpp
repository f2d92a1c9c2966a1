#include "lavenderpick/Base/Error.h"
#include "platform/PlatformDialect.h"
#include "platform/RecordDecoder.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Lavenderpick;

namespace {

const char *const configurationJson = R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","prefix":"/x/","routeKind":"streaming","timeoutMs":10000,"sloMs":300,
  "priority":1,"trafficSplit":[{"service":"s1","routeWeight":90},{"service":"s2","routeWeight":10}],
  "maxAttempts":2,"anonymous":false,"sticky":true,"resumable":true,"gapTargetMs":250},
 {"name":"r2","host":"a.example","prefix":"/y/","routeKind":"unsafe","timeoutMs":800,"sloMs":100,
  "priority":2,"service":"s2","maxAttempts":1,"anonymous":true}],
 "services":[{"name":"s1","healthPath":"/healthz","maxConnections":424,"engineParams":{"capacity":16,
  "kvTokens":315000,"tokenStride":51,"step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,
  "read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"hopMs":0.05}},
  {"name":"s2","healthPath":"/healthz","maxConnections":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1}]})";

const char *const upstreamJson =
        R"({"service":"s1","address":"10.0.0.9:8080","zone":"a","version":"v1",
 "capacity":16,"state":"ready","coldLeftMs":0,"seq":4,"born":1700000000123})";

ResponseHead makeResponse(int status, const std::string &name = "")
{
    ResponseHead head { .status = status };
    if (!name.empty())
        head.headers.add(name, "1");
    return head;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RecordDecoderTests)

BOOST_AUTO_TEST_CASE(decodesConfiguration)
{
    const ServingConfigurationParts parts = Platform::decodeConfiguration(configurationJson);
    BOOST_CHECK_EQUAL(parts.version, 7);
    BOOST_REQUIRE_EQUAL(parts.routes.size(), 2);
    const Route &streamingRoute = parts.routes.front();
    BOOST_CHECK(streamingRoute.kind == RouteKind::Streaming);
    BOOST_CHECK(streamingRoute.resumable);
    BOOST_CHECK(streamingRoute.timeout == Seconds(10));
    BOOST_CHECK(streamingRoute.objective == Milliseconds(300));
    BOOST_CHECK(streamingRoute.gapObjective == Milliseconds(250));
    BOOST_CHECK_EQUAL(streamingRoute.maximumUpstreams, 2);
    BOOST_REQUIRE_EQUAL(streamingRoute.targets.size(), 2);
    BOOST_CHECK_EQUAL(streamingRoute.targets.front().weight, 90);
    BOOST_CHECK(parts.routes.back().anonymous);
    BOOST_REQUIRE(parts.services.front().engine.has_value());
    BOOST_CHECK_EQUAL(parts.services.front().engine->prefillTokensPerMs, 177);
    BOOST_CHECK_EQUAL(parts.services.front().engine->tokensPerPass, 51);
    BOOST_CHECK(!parts.services.back().engine.has_value());
    BOOST_REQUIRE(parts.customers.has_value());
    BOOST_CHECK_EQUAL(parts.customers->front().keys.size(), 2);
    BOOST_CHECK(parts.limits.idleTimeout == Seconds(15));
}

BOOST_AUTO_TEST_CASE(configurationWithoutTenantsHasNoCustomers)
{
    BOOST_CHECK(!Platform::decodeConfiguration(R"({"version":1,"routes":[],"services":[]})")
                         .customers.has_value());
}

BOOST_AUTO_TEST_CASE(invalidConfigurationThrows)
{
    for (const char *text : { "", "{", "{\"version\":1}", "{\"version\":\"x\",\"routes\":[]}" })
        BOOST_CHECK_THROW(Platform::decodeConfiguration(text), Error);
}

// Which of two equal fields holds is not defined, so that gateways could differ.
BOOST_AUTO_TEST_CASE(configurationWithADuplicateFieldThrows)
{
    for (const char *text : { R"({"version":1,"routes":[],"services":[],"version":2})",
                              R"({"version":1,"routes":[],"services":[{"name":"a","name":"b"}]})" })
        BOOST_CHECK_THROW(Platform::decodeConfiguration(text), Error);
    BOOST_CHECK_THROW(Platform::decodeElement("services", R"({"name":"a","name":"b"})"), Error);
    BOOST_CHECK_NO_THROW(Platform::decodeElement("services", R"({"name":"a","x":{"name":"b"}})"));
}

BOOST_AUTO_TEST_CASE(decodesUpstream)
{
    const auto record = Platform::decodeUpstream("i-1", upstreamJson);
    BOOST_REQUIRE(record.has_value());
    BOOST_CHECK_EQUAL(record->id, "i-1");
    BOOST_CHECK_EQUAL(record->service, "s1");
    BOOST_CHECK(record->state == UpstreamState::Ready);
    BOOST_CHECK_EQUAL(record->startedMs, 1'700'000'000'123);
}

BOOST_AUTO_TEST_CASE(invalidUpstreamRowsAreIgnored)
{
    for (const char *text :
         { "", "\xff\xfe", "[]", "{\"service\":\"s\"}",
           R"({"service":"s1","address":"a:1","zone":"a","capacity":"16","state":"ready"})",
           R"({"service":"s1","address":"a:1","zone":"a","capacity":16,"state":"resting"})" })
        BOOST_CHECK(!Platform::decodeUpstream("i-1", text).has_value());
}

// Requests were sent to an address that no upstream can have, and failed there.
BOOST_AUTO_TEST_CASE(rowsWithoutAUsableAddressAreIgnored)
{
    for (const char *address : { "10.0.0.9:70000", "10.0.0.9:-1", "10.0.0.9:0", "10.0.0.9",
                                 "10.0.0.9:", ":80", "10.0.0.900:80", "10.0.0.9:80 ", "" }) {
        const std::string row = R"({"service":"s1","address":")" + std::string(address)
                + R"(","zone":"a","capacity":16,"state":"ready"})";
        BOOST_CHECK_MESSAGE(!Platform::decodeUpstream("i-1", row).has_value(), address);
    }
}

// Guards against a cold upstream that counts as warm because its time is written in another form,
// and against a bad time that ends the process or counts as one.
// Guards against text of another writer that begins a field or a request of its own in the head of
// requests: an upstream's key and a customer's name are sent there.
BOOST_AUTO_TEST_CASE(textThatCanNotBeSentInAHeadIsRefused)
{
    const auto toJson = [](const std::string &text) { return nlohmann::json(text).dump(); };
    for (const std::string &text :
         { std::string("i-1\r\nX: y"), std::string("i-1\n"), std::string("i-1\r"),
           std::string("i\0", 2), std::string("i\x7f") }) {
        BOOST_CHECK(!Platform::decodeUpstream(text, upstreamJson).has_value());
        const std::string customer = R"({"name":)" + toJson(text) + R"(,"apiKeys":[]})";
        BOOST_CHECK_THROW(Platform::decodeElement("tenants", customer), Error);
        BOOST_CHECK_THROW(
                Platform::decodeConfiguration(
                        R"({"version":1,"routes":[],"services":[],"tenants":[)" + customer + "]}"),
                Error);
        nlohmann::json record = Platform::decodeUpstream("i-1", upstreamJson)->toJson();
        BOOST_CHECK_NO_THROW(UpstreamRecord::parse(record));
        record["id"] = text; // From a peer of an earlier version.
        BOOST_CHECK_THROW(UpstreamRecord::parse(record), Error);
    }
    BOOST_CHECK(Platform::decodeUpstream("copy%20 \u00e9", upstreamJson).has_value());
}

BOOST_AUTO_TEST_CASE(coldTimesAreOptional)
{
    const auto coldLeft = [](const std::string &field) -> std::optional<Duration> {
        const auto record = Platform::decodeUpstream(
                "i-1",
                R"({"service":"s1","address":"10.0.0.9:80","zone":"a","capacity":1,"state":"ready")"
                        + field + "}");
        return record ? std::optional(record->coldLeft) : std::nullopt;
    };
    BOOST_CHECK(coldLeft("") == Duration {});
    BOOST_CHECK(coldLeft(R"(,"coldLeftMs":2500)") == Milliseconds(2'500));
    BOOST_CHECK(coldLeft(R"(,"coldLeftMs":1250.5)") == std::chrono::microseconds(1'250'500));
    BOOST_CHECK(coldLeft(R"(,"coldLeftMs":1e300)") == longestColdLeft);
    for (const char *value : { "-1", "-0.5", "\"2500\"", "true", "[]", "{}", "1e400" })
        BOOST_CHECK_MESSAGE(!coldLeft(R"(,"coldLeftMs":)" + std::string(value)), value);
    const ServingConfigurationParts parts = Platform::decodeConfiguration(
            R"({"version":1,"routes":[],"services":[{"name":"s1","coldS":3.0,"coldPerS":32},
                {"name":"s2"}]})");
    BOOST_CHECK(parts.services.front().coldDuration == Seconds(3));
    BOOST_CHECK_EQUAL(parts.services.front().coldRequestsPerSecond, 32);
    BOOST_CHECK(parts.services.back().coldDuration == Duration {});
    BOOST_CHECK_EQUAL(parts.services.back().coldRequestsPerSecond, 0);
    BOOST_CHECK_THROW(Platform::decodeConfiguration(
                              R"({"version":1,"routes":[],"services":[{"name":"s","coldS":-1}]})"),
                      Error);
}

BOOST_AUTO_TEST_CASE(nestedRowsAndExcessiveNumbersAreIgnored)
{
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    BOOST_CHECK(!Platform::decodeUpstream("i-1", nested).has_value());
    for (const char *capacity : { "1e400", "1e300", "99999999999999999999", "-1", "0", "2.5" }) {
        const std::string row =
                R"({"service":"s1","address":"10.0.0.9:80","zone":"a","state":"ready","capacity":)"
                + std::string(capacity) + "}";
        BOOST_CHECK_MESSAGE(!Platform::decodeUpstream("i-1", row).has_value(), capacity);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PlatformDialectTests)

BOOST_AUTO_TEST_CASE(parsesTokenCountsHeader)
{
    const Platform::PlatformDialect dialect;
    HeaderList headers;
    BOOST_CHECK(!dialect.generationSize(headers).has_value());
    headers.add("x-token-counts", "1460,80");
    BOOST_CHECK((dialect.generationSize(headers) == GenerationSize { 1'460, 80 }));
    for (const char *text : { "", "1460", "a,b", "1460;80", "-1,2" }) {
        HeaderList invalidHeaders;
        invalidHeaders.add("X-Token-Counts", text);
        BOOST_CHECK_MESSAGE(!dialect.generationSize(invalidHeaders).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(sharedPromptPartsAreAllButTheLast)
{
    const Platform::PlatformDialect dialect;
    const auto parts = [&](const std::string &text) {
        HeaderList headers;
        headers.add("X-Prompt-Prefix", text);
        return dialect.sharedPromptParts(headers);
    };
    BOOST_CHECK((parts("5c1e07a2:800, 91bd3f06:410,e4402b7d:250")
                 == std::vector<std::string> { "5c1e07a2", "91bd3f06" }));
    for (const char *text : { "e4402b7d:250", "", ",", "a,b:1", ":1,b:1" })
        BOOST_CHECK_MESSAGE(parts(text).empty(), text);
    BOOST_CHECK(dialect.sharedPromptParts({}).empty());
}

// Guards against a prefix of a wrong length: an entry whose length can't be read has none.
BOOST_AUTO_TEST_CASE(promptPartsHaveLengths)
{
    const Platform::PlatformDialect dialect;
    HeaderList headers;
    headers.add("X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:x,e4402b7d:250");
    BOOST_CHECK((dialect.promptParts(headers)
                 == std::vector<PromptPart> {
                         { "5c1e07a2", 800 }, { "91bd3f06", 0 }, { "e4402b7d", 250 } }));
    BOOST_CHECK(dialect.promptParts({}).empty());
}

BOOST_AUTO_TEST_CASE(parsesTheLimitThatAnUpstreamNames)
{
    const Platform::PlatformDialect dialect;
    const auto limit = [&](const std::string &text) {
        ResponseHead head;
        head.headers.add("server-limit", text);
        return dialect.rateLimit(head);
    };
    BOOST_CHECK(limit("3.5") == 3.5);
    BOOST_CHECK(limit("0") == 0.0);
    for (const char *text : { "", "-1", "inf", "nan", "3 a second" })
        BOOST_CHECK_MESSAGE(!limit(text), text);
    BOOST_CHECK(!dialect.rateLimit({}));
}

BOOST_AUTO_TEST_CASE(readsWhetherAnUpstreamLeaves)
{
    const Platform::PlatformDialect dialect;
    BOOST_CHECK(!dialect.isLeaving({}));
    for (const auto &[text, leaves] :
         std::vector<std::pair<std::string, bool>> { { "1", true },
                                                     { "0", false },
                                                     { "", false },
                                                     { "11", false },
                                                     { "yes", false } }) {
        ResponseHead head;
        head.headers.add("server-leaving", text);
        BOOST_CHECK_MESSAGE(dialect.isLeaving(head) == leaves, text);
    }
}

BOOST_AUTO_TEST_CASE(readsHowLongAnUpstreamWantsNothing)
{
    const Platform::PlatformDialect dialect;
    const auto pauseMs = [&](const std::vector<std::string> &fields, int status = 503) {
        ResponseHead head { .status = status };
        for (const std::string &field : fields)
            head.headers.add("Retry-After", field);
        const auto pause = dialect.pause(head);
        return pause ? toMilliseconds(*pause) : -1;
    };
    BOOST_CHECK_EQUAL(pauseMs({ "3" }), 3'000);
    BOOST_CHECK_EQUAL(pauseMs({ "0.25" }), 250);
    BOOST_CHECK_EQUAL(pauseMs({ "3" }, 429), -1);
    BOOST_CHECK_EQUAL(pauseMs({ "3" }, 200), -1);
    BOOST_CHECK_EQUAL(pauseMs({ "1", "4", "x" }), 4'000); // The longest holds.
    BOOST_CHECK_EQUAL(pauseMs({ "99999999999999999999" }), 86'400'000);
    for (const char *text :
         { "", "0", "-3", "3 s", "soon", "nan", "inf", "1e999", "Wed, 21 Oct 2026 07:28:00 GMT" })
        BOOST_CHECK_MESSAGE(pauseMs({ text }) == -1, text);
}

BOOST_AUTO_TEST_CASE(onlyNotExecutedHeaderOrMisdirectedStatusProvesNotRun)
{
    const Platform::PlatformDialect dialect;
    BOOST_CHECK(dialect.provesNotRun(makeResponse(503, "X-Not-Executed")));
    BOOST_CHECK(dialect.provesNotRun(makeResponse(421)));
    BOOST_CHECK(!dialect.provesNotRun(makeResponse(503)));
    BOOST_CHECK(!dialect.provesNotRun(makeResponse(500)));
    BOOST_CHECK(!dialect.provesNotRun(makeResponse(504)));
}

BOOST_AUTO_TEST_CASE(formatsHelpersWithReservations)
{
    const Platform::PlatformDialect dialect;
    BOOST_CHECK_EQUAL(dialect.formatHelpers({ { .address = "10.2.64.3:8080", .reservation = "t81" },
                                              { .address = "10.2.64.5:8080" } }),
                      "10.2.64.3:8080/t81,10.2.64.5:8080");
}

// Guards against memory that is released under a prompt which its engine prefills.
BOOST_AUTO_TEST_CASE(usedReservationsAreReadFromAnEnginesReport)
{
    const Platform::PlatformDialect dialect;
    const std::string report = R"({"active":1,"tickets":[{"id":"t1","state":"held"},)"
                               R"({"id":"t2","state":"used"}]})";
    BOOST_CHECK(!dialect.isReservationUsed(report, "t1"));
    BOOST_CHECK(dialect.isReservationUsed(report, "t2"));
    BOOST_CHECK(!dialect.isReservationUsed(report, "t3"));
    for (const char *malformed : { R"({"active":1})", R"({"tickets":[{"id":7,"state":"used"}]})",
                                   R"({"tickets":["t1"]})", R"({"tickets":{}})" })
        BOOST_CHECK_THROW(dialect.isReservationUsed(malformed, "t1"), Error);
    BOOST_CHECK_THROW(dialect.isReservationUsed("", "t1"), Error);
}

// Ids of callers are any bytes; those that are no UTF-8 ended the process.
BOOST_AUTO_TEST_CASE(ordersForIdsThatAreNoTextAreValid)
{
    const Platform::PlatformDialect dialect;
    const EngineCall reserve = dialect.reserveMemory("r\xff\xfe-1", 10, Seconds(1));
    const EngineCall release = dialect.releaseMemory("r\xff\xfe-1");
    BOOST_CHECK(nlohmann::json::accept(reserve.body));
    BOOST_CHECK_EQUAL(nlohmann::json::parse(reserve.body).at("id").get<std::string>(),
                      nlohmann::json::parse(release.body).at("id").get<std::string>());
}

BOOST_AUTO_TEST_SUITE_END()
