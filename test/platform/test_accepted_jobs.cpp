#include "platform/front_fixture.hpp"

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

/// Route for batch jobs, and one for calls, of the host "lots".
constexpr const char* job_route =
    R"(,{"name":"l","host":"lots","pathPrefix":"/l/","service":"s",
         "kind":"batch","maxAttempts":2,"dueMs":18000,"cap":1000})";

std::string call_route(const std::string& path_prefix)
{
    return R"(,{"name":"call","host":"lots","pathPrefix":")" + path_prefix +
           R"(","service":"s","kind":"idempotent","maxAttempts":1,)"
           R"("timeoutMs":1000})";
}

/// An entry that has accepted the job "j1" with the item "i1" under the only
/// route of the host "lots".
struct with_job_of_own_host : serving_front
{
    with_job_of_own_host()
    {
        configure(2, job_route);

        // The item runs for as long as the test.
        engine.make_answer = [](const std::string&)
        {
            return scripted_answer{};
        };
        BOOST_REQUIRE(contains(submit(), " 202 "));
    }

    std::string submit()
    {
        return send_request(post("/l/x/j1", job_body(item("i1")), "j1", "lots"),
                            "\r\n\r\n");
    }

    std::string read_results(const std::string& host = "lots")
    {
        return send_request(get("/tanagertrack/lots/j1", {}, host),
                            "\r\n\r\n{");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_accepted_jobs, with_job_of_own_host)

// Guards against an accepted job that is out of reach for its caller once the
// operator has removed its route, the only one of its host.
BOOST_AUTO_TEST_CASE(accepted_job_outlasts_its_route)
{
    configure(3);
    BOOST_TEST(contains(read_results(), R"("totalCount":1)"));
    BOOST_TEST(
        contains(send_request(get("/tanagertrack/items/j1?id=i1", {}, "lots"),
                              "body of i1"),
                 " 200 "));
    BOOST_TEST(contains(
        send_request(remove("/tanagertrack/lots/j1", "lots"), "{}"), " 200 "));
}

// Guards against the refusal of a repeated submission of an accepted job after
// its route was removed. Other submissions to the removed route get 404.
BOOST_AUTO_TEST_CASE(repeated_submission_is_accepted_without_its_route)
{
    configure(3);
    BOOST_TEST(contains(submit(), " 202 "));
    for (const auto* host : {"lots", "h"})
    {
        const auto other = post("/l/x/j2", job_body(item("i1")), "j2", host);
        BOOST_TEST(contains(send_request(other, "\r\n\r\n"), " 404 "));
    }
}

// Guards against a repeated submission that is forwarded to a target as an
// online request, because a route of another kind covers its path now: besides
// the route of the job, or in its place.
BOOST_AUTO_TEST_CASE(repeated_submission_is_accepted_under_a_call_route)
{
    BOOST_REQUIRE(run_until(context, [&] { return !engine.requests.empty(); }));
    configure(3, std::string(job_route) + call_route("/l/x/"));
    BOOST_TEST(contains(submit(), " 202 "));
    configure(4, call_route("/l/"));
    BOOST_TEST(contains(submit(), " 202 "));
    BOOST_TEST(engine.requests.size() == 1);
}

// Guards against a job that is disclosed under another host name.
BOOST_AUTO_TEST_CASE(job_is_found_only_under_its_host)
{
    BOOST_TEST(contains(read_results(), R"("totalCount":1)"));
    for (const auto* host : {"h", "nobody"})
        BOOST_TEST(contains(read_results(host), " 404 "));
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

/// An entry that reads the log of jobs only when a call needs its end. Another
/// entry has accepted the job "j1" since, and a route for calls covers the
/// paths of its route.
struct with_unread_job : serving_front
{
    with_unread_job() : serving_front(1h)
    {
        configure(2, std::string(job_route) + call_route("/l/x/"));
        BOOST_REQUIRE(
            run_until(context, [&] { return core->jobs().is_current(); }));
        append_accepted_job("j1", "lots");
        BOOST_REQUIRE(core->jobs().table().find("j1") == nullptr);
    }

    std::string submit(const std::string& id, const std::string& path = "/l/x/")
    {
        return send_request(post(path + id, job_body(item("i1")), id, "lots"),
                            "\r\n\r\n");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_unread_jobs, with_unread_job)

// Guards against a repeated submission that is forwarded to a target, or gets
// 404, because this entry has not read the record of the acceptance yet.
BOOST_AUTO_TEST_CASE(repeated_submission_is_looked_up_in_the_log)
{
    BOOST_TEST(contains(submit("j1"), " 202 "));
    append_accepted_job("j2", "lots");
    configure(3);
    BOOST_TEST(contains(submit("j2"), " 202 "));
    BOOST_TEST(engine.requests.empty());
}

// Guards against a repeated submission that is forwarded to a target because it
// is unknown, without the store, whether its job was accepted.
BOOST_AUTO_TEST_CASE(possible_submission_is_refused_while_the_log_is_unreadable)
{
    store.read_outcome = []
    {
        return call_outcome::refused;
    };
    const auto answer = submit("j1");
    BOOST_TEST(contains(answer, " 503 "));
    BOOST_TEST(contains(answer, "Retry-After: "));
    BOOST_TEST(engine.requests.empty());
    BOOST_TEST(
        contains(send_request(post("/l/x/r1", "{\"question\":1}", "r1", "lots"),
                              "answer"),
                 " 200 "));
}

// Guards against online requests that are refused, or answered as a job,
// because their body looks like that of a submission.
BOOST_AUTO_TEST_CASE(request_that_looks_like_a_submission_is_forwarded)
{
    BOOST_TEST(contains(submit("r1"), " 200 "));
    BOOST_TEST(engine.requests.size() == 1);
    BOOST_TEST(contains(submit("r2", "/other/"), " 404 "));
}

BOOST_AUTO_TEST_SUITE_END()
