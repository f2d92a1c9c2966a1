#include "Fakes/SampleDocument.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Document/DocumentCheck.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

Document applyEntry(const Document &document, const std::string &section, const std::string &name,
                    const nlohmann::json &value)
{
    return document.apply({ .version = document.version() + 1,
                            .section = section,
                            .entries = { { name, value } },
                            .token = "t" });
}

std::string textOf(const std::vector<DocumentProblem> &problems)
{
    std::string text;
    for (const DocumentProblem &problem : problems)
        text += problem.toText() + "\n";
    return text;
}

} // namespace

// Guards against a skipped or repeated change, which would let documents of one version differ.
BOOST_AUTO_TEST_CASE(changes_apply_in_order_only)
{
    const Document first = applyEntry({}, "customers", "enna", sampleCustomer());
    BOOST_TEST(first.version() == 1);
    for (const std::int64_t version : { 0, 1, 3 })
        BOOST_CHECK_EXCEPTION(
                first.apply({ .version = version, .section = "models" }), Error,
                [](const Error &error) { return error.kind() == ErrorKind::Conflict; });
    const Document second = applyEntry(first, "models", "m", sampleModel());
    const Document third = applyEntry(second, "customers", "enna", nullptr);
    BOOST_TEST(second.entry("customers", "enna")->version == 1);
    BOOST_TEST(third.entry("customers", "enna") == nullptr);
    BOOST_TEST(third.section("customers").version == 3);
    BOOST_TEST(third.section("models").version == 2);
}

// Guards against a snapshot that loses entries or versions, or is damaged unnoticed.
BOOST_AUTO_TEST_CASE(documents_survive_json_and_damage_is_found)
{
    Document document = applyEntry({}, "customers", "enna", sampleCustomer());
    document = applyEntry(document, "plans", "u1", { { "action", "stop" } });
    nlohmann::json json = document.toJson();
    BOOST_TEST((Document::parse(json) == document));
    json["sections"]["customers"]["entries"]["enna"]["value"]["weight"] = 9;
    BOOST_CHECK_EXCEPTION(Document::parse(json), Error, [](const Error &error) {
        return error.kind() == ErrorKind::InvalidMessage;
    });
}

// Guards against a customer's key that opens another customer, or a plain text key in the document.
BOOST_AUTO_TEST_CASE(keys_belong_to_their_customer)
{
    Document document = applyEntry({}, "customers", "enna", sampleCustomer());
    BOOST_TEST(document.customerByKey("enna.secret").has_value());
    for (const char *key : { "enna.other", "dar.secret", "enna", "", ".", "enna.secret2" })
        BOOST_TEST(!document.customerByKey(key).has_value(), key);
    BOOST_TEST(document.toJson().dump().find("secret") == std::string::npos);
    BOOST_TEST(!document.operatorByKey("enna.secret").has_value());
}

// Guards against a service that is called on a path that the document does not allow.
BOOST_AUTO_TEST_CASE(paths_are_matched_by_segment)
{
    const auto service = ServiceEntry::parse("desk", sampleService(false));
    for (const char *path : { "/bookings", "/bookings/7", "/bookings?day=1" })
        BOOST_TEST(service.allowsPath(path), path);
    for (const char *path : { "/bookingsx", "/", "/bookings/../admin", "/bookings/%2e%2e/admin",
                              "bookings", "/bookings/./x", "" })
        BOOST_TEST(!service.allowsPath(path), path);
}

// Guards against a check that stops at the first problem, or misses a reference across sections.
BOOST_AUTO_TEST_CASE(every_problem_of_a_document_is_listed)
{
    Document document = applyEntry({}, "operators", "ops", sampleOperator({ "customers" }));
    nlohmann::json customer = sampleCustomer();
    customer["roles"] = { "service:desk", "everything" };
    customer["weight"] = -1;
    customer["colour"] = "red";
    document = applyEntry(document, "customers", "enna", customer);
    document = applyEntry(document, "customers", "a b", { { "keys", { { { "salt", "x" } } } } });
    document = applyEntry(document, "plans", "u1", { { "action", "move" }, { "to", "model:m" } });
    document = applyEntry(document, "plans", "u2", { { "action", "go" }, { "grace", "soon" } });
    document = applyEntry(document, "priorities", "high",
                          { { "rank", 0 },
                            { "default_deadline", "30 s" },
                            { "shed_order", 1 },
                            { "objective", "short_slowdown" } });
    document = applyEntry(document, "priorities", "low",
                          { { "rank", 0 },
                            { "default_deadline", "30" },
                            { "shed_order", 0 },
                            { "objective", "first_token_by_length" } });
    const std::string problems = textOf(checkDocument(document));
    for (const char *expected :
         { "customers.enna.weight: must be", "customers.enna.roles: can't hold 'everything'",
           "customers.enna.roles: names 'service:desk'", "customers.enna.colour: is unknown",
           "customers.a b: is no valid name", "customers.a b.keys[0]: is no salted key hash",
           "plans.u1.to: names 'model:m'", "plans.u2.action: can't be", "plans.u2.grace: must be",
           "operators: lets nobody", "priorities.low.objective: differs",
           "priorities.low.rank: is used twice", "priorities.low.default_deadline: must be" })
        BOOST_TEST(problems.find(expected) != std::string::npos, expected << " in " << problems);
}

// Guards against one team's old problem that blocks the edits of all others.
BOOST_AUTO_TEST_CASE(problems_of_other_sections_do_not_block_an_edit)
{
    const Document before = applyEntry({}, "customers", "enna", { { "weight", 1 } });
    const Document after = applyEntry(before, "models", "m", sampleModel());
    BOOST_TEST(checkEdit(before, after, "models").empty());
    BOOST_TEST(!checkEdit(before, after, "customers").empty());
}
