#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

// Guards against an array header that claims more elements than memory holds; found by fuzzing.
BOOST_AUTO_TEST_CASE(cbor_with_an_excessive_array_is_refused)
{
    const std::string bytes("\x93\x9b\x9b\x00\x87\x41\x70\x00\x00\x00*", 11);
    BOOST_CHECK_THROW(parseCbor(bytes, "datagram"), Error);
}

// Guards against a stack overflow when a deeply nested body is copied or printed.
BOOST_AUTO_TEST_CASE(deep_nesting_is_refused)
{
    const std::string bytes(1'000'000, '[');
    BOOST_CHECK_THROW(parseJson(bytes, "body"), Error);
    BOOST_CHECK_NO_THROW(parseJson("[[[[1]]]]", "body"));
}

// Guards against numbers that wrap around when they are read.
BOOST_AUTO_TEST_CASE(integers_outside_the_range_are_refused)
{
    const nlohmann::json json = parseJson(R"({"n":18446744073709551615,"f":1.5})", "body");
    BOOST_CHECK_THROW(requireInteger(json, "n"), Error);
    BOOST_CHECK_THROW(requireInteger(json, "f"), Error);
}

BOOST_AUTO_TEST_CASE(text_that_is_not_utf8_is_replaced)
{
    const nlohmann::json json { { "id", "a\xff" }, { "n", 1 } };
    BOOST_CHECK(nlohmann::json::accept(toJsonText(json)));
    BOOST_CHECK_EQUAL(toJsonText({ { "id", "text" } }), "{\"id\":\"text\"}");
}
