#include "platform/records.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace tanagertrack;
using namespace std::chrono_literals;

namespace
{

const std::string announcement =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"1",)"
    R"("slots":8,"state":"ready","coldLeftMs":0,"seq":3,"born":1700000000000})";

/// Replaces a part of a text that must be there.
std::string with(std::string text, const std::string& from,
                 const std::string& to)
{
    const auto at = text.find(from);
    BOOST_REQUIRE(at != text.npos);
    return text.replace(at, from.size(), to);
}

bool is_skipped(const std::string& text, std::string_view why)
{
    std::string told;
    const bool none = !platform::parse_announcement(text, told);
    BOOST_TEST(told == why);
    return none;
}

} // namespace

BOOST_AUTO_TEST_SUITE(records)

BOOST_AUTO_TEST_CASE(announcement_is_decoded)
{
    std::string why;
    const auto it = platform::parse_announcement(announcement, why);
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST((it->services == std::vector<std::string>{"s"}));
    BOOST_TEST(to_string(it->address) == "10.0.0.1:80");
    BOOST_TEST(it->data_centre == "a");
    BOOST_TEST(it->slots == 8);
    BOOST_TEST(!it->leaving);
    BOOST_TEST(it->started_ms == 1700000000000);
    const auto leaving = platform::parse_announcement(
        with(announcement, "ready", "draining"), why);
    BOOST_TEST(leaving->leaving);
}

// Guards against a crash, or a target that is not meant, by a record of
// another writer.
BOOST_AUTO_TEST_CASE(unreadable_announcement_names_no_target)
{
    BOOST_TEST(is_skipped("", "not a JSON object"));
    BOOST_TEST(is_skipped("\xff\xfe{", "not a JSON object"));
    BOOST_TEST(is_skipped("[1]", "not a JSON object"));
    BOOST_TEST(is_skipped(std::string(100000, '['), "not a JSON object"));
    BOOST_TEST(is_skipped("{}", "address"));
    BOOST_TEST(
        is_skipped(with(announcement, "10.0.0.1:80", "no:where"), "address"));
    BOOST_TEST(
        is_skipped(with(announcement, "\"10.0.0.1:80\"", "7"), "address"));
    BOOST_TEST(is_skipped(with(announcement, "ready", "sleeping"), "state"));
    BOOST_TEST(is_skipped(with(announcement, "\"s\"", "\"\""), "service"));
    BOOST_TEST(
        is_skipped(with(announcement, "\"slots\":8", "\"slots\":0"), "slots"));
    BOOST_TEST(
        is_skipped(with(announcement, "\"slots\":8", "\"slots\":-1"), "slots"));
    BOOST_TEST(is_skipped(with(announcement, "\"slots\":8", "\"slots\":1e30"),
                          "slots"));
    BOOST_TEST(
        is_skipped(with(announcement, "\"seq\":3", "\"seq\":\"3\""), "seq"));
}

BOOST_AUTO_TEST_CASE(configuration_is_decoded)
{
    const std::string text = R"({"version":7,"routes":[
        {"name":"c","host":"h","pathPrefix":"/c/","service":"s",
         "kind":"idempotent","maxAttempts":3,"timeoutMs":900,
         "targetLatencyMs":300,"priority":2},
        {"name":"st","host":"h","pathPrefix":"/st/","service":"s",
         "kind":"stream","resumable":true,"gapAimMs":600},
        {"name":"o","host":"h","pathPrefix":"/o/","kind":"stream",
         "trafficSplit":[{"service":"s","weight":3},
                         {"service":"t","weight":1}]},
        {"name":"b","host":"h","pathPrefix":"/b/","service":"s",
         "kind":"batch","dueMs":18000,"queueTtlS":60,"cap":1000}],
       "services":[{"name":"s","healthPath":"/health","maxConns":370,
                    "engine":{"slots":8}},{"name":"t"}],
       "limits":{"maxHeaderBytes":4000,"maxBodyBytes":50000,
                 "headerTimeoutMs":800,"idleTimeoutMs":9000}})";
    std::string why;
    const auto it = platform::parse_configuration(text, why);
    BOOST_REQUIRE(it != nullptr);
    BOOST_TEST(it->version() == 7);
    BOOST_REQUIRE(it->routes().size() == 4);

    const auto* call = it->find_route("h", "/c/x");
    BOOST_TEST((call->repeats == fleet::repetition::repeatable));
    BOOST_TEST(call->max_attempts == 3);
    BOOST_TEST((call->timeout == 900ms));
    BOOST_TEST((call->objective == 300ms));
    BOOST_TEST(call->priority == 2);

    const auto* stream = it->find_route("h", "/st/");
    BOOST_TEST((stream->kind == fleet::route_kind::stream));
    BOOST_TEST((stream->repeats == fleet::repetition::resumable));
    BOOST_TEST((stream->gap_objective == 600ms));

    // A stream that does not say so can't be resumed.
    const auto* once = it->find_route("h", "/o/");
    BOOST_TEST((once->repeats == fleet::repetition::once));
    BOOST_TEST(once->services.size() == 2);
    BOOST_TEST(once->services[0].weight == 3);

    const auto* batch = it->find_route("h", "/b/");
    BOOST_TEST((batch->kind == fleet::route_kind::batch));
    BOOST_TEST((batch->due_after == 18s));
    BOOST_TEST((batch->expires_after == 60s));
    BOOST_TEST(batch->max_waiting_tokens == 1000);

    BOOST_TEST(it->find_service("s")->generates);
    BOOST_TEST(it->find_service("s")->max_connections == 370);
    BOOST_TEST(!it->find_service("t")->generates);
    BOOST_TEST(it->limits().max_header_bytes == 4000);
    BOOST_TEST((it->limits().idle_timeout == 9s));
}

BOOST_AUTO_TEST_CASE(unreadable_configuration_is_no_configuration)
{
    std::string why;
    BOOST_TEST(platform::parse_configuration("{", why) == nullptr);
    BOOST_TEST(why == "not a JSON object");
    BOOST_TEST(platform::parse_configuration(R"({"version":"7"})", why) ==
               nullptr);
    BOOST_TEST(why == "version");
}

// One wrong route must not take the others out of service.
BOOST_AUTO_TEST_CASE(wrong_routes_and_services_are_left_out)
{
    const std::string text = R"({"version":1,"routes":[7,
        {"name":"a","host":"h","pathPrefix":"/a","kind":"idempotent"},
        {"name":"b","host":"h","pathPrefix":"/b/","kind":"other"},
        {"name":"c","pathPrefix":"/c/","kind":"idempotent"},
        {"name":"d","host":"h","pathPrefix":"/d/","kind":"idempotent",
         "maxAttempts":-1,"timeoutMs":"soon"}],
       "services":["x",{"healthPath":"/"}]})";
    std::string why;
    const auto it = platform::parse_configuration(text, why);
    BOOST_REQUIRE(it != nullptr);
    BOOST_REQUIRE(it->routes().size() == 1);
    BOOST_TEST(it->routes()[0].name == "d");
    BOOST_TEST(it->routes()[0].max_attempts == 1);
    BOOST_TEST(it->services().empty());
}

BOOST_AUTO_TEST_SUITE_END()
