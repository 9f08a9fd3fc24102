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

/// Returns `text` with `from`, which must occur in it, replaced by `to`.
std::string with(std::string text, const std::string& from,
                 const std::string& to)
{
    const auto at = text.find(from);
    BOOST_REQUIRE(at != text.npos);
    return text.replace(at, from.size(), to);
}

/// Returns true if the announcement is rejected; checks the reported reason.
bool is_rejected(const std::string& text, std::string_view reason)
{
    std::string reported;
    const bool rejected = !platform::parse_announcement(text, reported);
    BOOST_TEST(reported == reason);
    return rejected;
}

} // namespace

BOOST_AUTO_TEST_SUITE(records)

BOOST_AUTO_TEST_CASE(announcement_is_decoded)
{
    std::string reason;
    const auto it = platform::parse_announcement(announcement, reason);
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST((it->services == std::vector<std::string>{"s"}));
    BOOST_TEST(to_string(it->address) == "10.0.0.1:80");
    BOOST_TEST(it->data_centre == "a");
    BOOST_TEST(it->slots == 8);
    BOOST_TEST(!it->leaving);
    BOOST_TEST(it->started_ms == 1700000000000);
    const auto leaving = platform::parse_announcement(
        with(announcement, "ready", "draining"), reason);
    BOOST_TEST(leaving->leaving);
}

// Guards against a crash, and against a target with wrong data, when another
// program writes a malformed record.
BOOST_AUTO_TEST_CASE(invalid_announcement_is_rejected_with_the_reason)
{
    BOOST_TEST(is_rejected("", "not a JSON object"));
    BOOST_TEST(is_rejected("\xff\xfe{", "not a JSON object"));
    BOOST_TEST(is_rejected("[1]", "not a JSON object"));
    BOOST_TEST(is_rejected(std::string(100000, '['), "not a JSON object"));
    BOOST_TEST(is_rejected("{}", "address"));
    BOOST_TEST(
        is_rejected(with(announcement, "10.0.0.1:80", "no:where"), "address"));
    BOOST_TEST(
        is_rejected(with(announcement, "\"10.0.0.1:80\"", "7"), "address"));
    BOOST_TEST(is_rejected(with(announcement, "ready", "sleeping"), "state"));
    BOOST_TEST(is_rejected(with(announcement, "\"s\"", "\"\""), "service"));
    BOOST_TEST(
        is_rejected(with(announcement, "\"slots\":8", "\"slots\":0"), "slots"));
    BOOST_TEST(is_rejected(with(announcement, "\"slots\":8", "\"slots\":-1"),
                           "slots"));
    BOOST_TEST(is_rejected(with(announcement, "\"slots\":8", "\"slots\":1e30"),
                           "slots"));
    BOOST_TEST(
        is_rejected(with(announcement, "\"seq\":3", "\"seq\":\"3\""), "seq"));
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
    std::string reason;
    const auto it = platform::parse_configuration(text, reason);
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

    // Without the field "resumable", a stream can't be resumed.
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

BOOST_AUTO_TEST_CASE(invalid_configuration_is_rejected_with_the_reason)
{
    std::string reason;
    BOOST_TEST(platform::parse_configuration("{", reason) == nullptr);
    BOOST_TEST(reason == "not a JSON object");
    BOOST_TEST(platform::parse_configuration(R"({"version":"7"})", reason) ==
               nullptr);
    BOOST_TEST(reason ==
               "field 'version' is missing or not an unsigned integer");
}

// An invalid route must not take the others out of service.
BOOST_AUTO_TEST_CASE(invalid_routes_and_services_are_skipped)
{
    const std::string text = R"({"version":1,"routes":[7,
        {"name":"a","host":"h","pathPrefix":"/a","kind":"idempotent"},
        {"name":"b","host":"h","pathPrefix":"/b/","kind":"other"},
        {"name":"c","pathPrefix":"/c/","kind":"idempotent"},
        {"name":"d","host":"h","pathPrefix":"/d/","kind":"idempotent",
         "maxAttempts":-1,"timeoutMs":"soon"}],
       "services":["x",{"healthPath":"/"}]})";
    std::string reason;
    const auto it = platform::parse_configuration(text, reason);
    BOOST_REQUIRE(it != nullptr);
    BOOST_REQUIRE(it->routes().size() == 1);
    BOOST_TEST(it->routes()[0].name == "d");
    BOOST_TEST(it->routes()[0].max_attempts == 1);
    BOOST_TEST(it->services().empty());
}

BOOST_AUTO_TEST_SUITE_END()
