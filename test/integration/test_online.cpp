#include "integration/eventually.hpp"
#include "integration/fleet.hpp"
#include "standin/answer_text.hpp"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

namespace json = boost::json;
using namespace tanagertrack;
using namespace tanagertrack::test;

namespace
{

/// Returns a request to a service whose calls are executed at most once.
cli::api_request manifest_request(const std::string& key)
{
    return {.method = "POST",
            .target = "/v1/services/carico/manifests",
            .content_type = "application/json",
            .idempotency_key = key,
            .body = R"({"crate":7})"};
}

/// Sends a request and repeats it for up to 20 s while the answer is 503, which
/// means that it was not executed.
cli::api_answer call_until_executed(const fleet& running_fleet, int entry,
                                    const cli::api_request& request)
{
    cli::api_answer answer;
    eventually(std::chrono::seconds(20),
               [&]
               {
                   answer = running_fleet.call(entry, request);
                   return answer.status != 503;
               });
    return answer;
}

/// Returns the field error.execution of an answer.
std::string execution_of(const cli::api_answer& answer)
{
    json::error_code ec;
    const auto body = json::parse(answer.body, ec);
    if (ec)
        return "the answer is not JSON: " + answer.body;
    return std::string(body.at("error").at("execution").as_string());
}

} // namespace

BOOST_AUTO_TEST_SUITE(online)

// Guards against a streamed answer that lacks chunks, repeats them, or has
// chunks of another request's answer.
BOOST_AUTO_TEST_CASE(streamed_answer_is_complete)
{
    fleet it({});
    const auto answer = it.call(1, chat("ciao", 50, true));
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(streamed_text(answer.body) ==
               standin::answer_text("ciao\n", 50));
}

// Guards against a second execution of a call that may be executed at most
// once. It comes about when the answer of the service is lost and the caller
// sends the call again, with the same idempotency key, through another entry.
BOOST_AUTO_TEST_CASE(call_with_lost_answer_is_executed_once)
{
    fleet it({.services = 1});

    const auto answer = call_until_executed(it, 1, manifest_request("key-0"));
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(it.seen("service-1").at("executions") == 1);

    it.set_fault("service-1", R"({"drop_answers":1})");
    const auto first = call_until_executed(it, 1, manifest_request("key-1"));
    BOOST_TEST(first.status >= 500);
    BOOST_TEST(execution_of(first) == "may_have_run");
    const auto second = call_until_executed(it, 2, manifest_request("key-1"));
    BOOST_TEST(second.status >= 500);
    BOOST_TEST(execution_of(second) == "may_have_run");
    BOOST_TEST(it.seen("service-1").at("executions") == 2);

    // A repeated call gets the recorded answer without another execution.
    const auto again = call_until_executed(it, 2, manifest_request("key-0"));
    BOOST_TEST(again.status == 200);
    BOOST_TEST(again.body == answer.body);
    BOOST_TEST(it.seen("service-1").at("executions") == 2);
}

BOOST_AUTO_TEST_SUITE_END()
