#include "lavenderpick/Forward/ServingConfiguration.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    return { .name = name, .host = host, .prefix = prefix, .targets = { { .service = "s" } } };
}

const ServingConfiguration &sampleConfiguration()
{
    static const ServingConfiguration configuration({
            .version = 7,
            .routes = { route("root", "a", "/"), route("long", "a", "/x/y/"),
                        route("short", "a", "/x/"), route("other", "b", "/x/") },
            .services = { { .name = "s" } },
            .customers = std::vector<Customer> { { .name = "c", .keys = { "k1", "k2" } } },
    });
    return configuration;
}

std::string findRouteName(std::string_view host, std::string_view path)
{
    const Route *found = sampleConfiguration().findRoute(host, path);
    return found == nullptr ? "" : found->name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServingConfigurationTests)

BOOST_AUTO_TEST_CASE(theLongestPrefixWins)
{
    BOOST_CHECK_EQUAL(findRouteName("a", "/x/y/z"), "long");
    BOOST_CHECK_EQUAL(findRouteName("a", "/x/y/"), "long");
    BOOST_CHECK_EQUAL(findRouteName("a", "/x/y"), "short");
    BOOST_CHECK_EQUAL(findRouteName("a", "/x"), "root");
    BOOST_CHECK_EQUAL(findRouteName("b", "/x/1"), "other");
}

BOOST_AUTO_TEST_CASE(unknownHostsAndPathsHaveNoRoute)
{
    BOOST_CHECK_EQUAL(findRouteName("b", "/"), "");
    BOOST_CHECK_EQUAL(findRouteName("c", "/x/"), "");
    BOOST_CHECK_EQUAL(findRouteName("a", "no-slash"), "");
}

BOOST_AUTO_TEST_CASE(keysMapToTheirCustomer)
{
    BOOST_REQUIRE(sampleConfiguration().findCustomer("k2") != nullptr);
    BOOST_CHECK_EQUAL(sampleConfiguration().findCustomer("k2")->name, "c");
    BOOST_CHECK(sampleConfiguration().findCustomer("k3") == nullptr);
    BOOST_CHECK(sampleConfiguration().requiresKeys());
}

BOOST_AUTO_TEST_CASE(idempotencyDependsOnKindAndResumability)
{
    BOOST_CHECK(Route({ .kind = RouteKind::Safe }).isIdempotent());
    BOOST_CHECK(!Route({ .kind = RouteKind::Unsafe }).isIdempotent());
    BOOST_CHECK(!Route({ .kind = RouteKind::Streaming }).isIdempotent());
    BOOST_CHECK(Route({ .kind = RouteKind::Streaming, .resumable = true }).isIdempotent());
    BOOST_CHECK(!Route({ .kind = RouteKind::Unsafe, .resumable = true }).isIdempotent());
}

BOOST_AUTO_TEST_SUITE_END()
