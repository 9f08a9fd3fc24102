#include "batch/batch_fixture.hpp"
#include "batch/retention.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;
using common::result_code;
using outcome = batch::call_decision::outcome;

namespace
{

struct fixture : batch_cluster
{
    fixture()
    {
        two.until([this]
                  { return two.jobs.is_current() && one.jobs.is_current(); });
    }

    /// Set when the decision is known.
    using pending_decision =
        std::shared_ptr<std::optional<batch::call_decision>>;

    /// Requests to run the call "c".
    pending_decision request_run(batch_process& process,
                                 const std::string& attempt,
                                 const std::string& hash = "h",
                                 std::chrono::milliseconds timeout = 10s)
    {
        auto decision = std::make_shared<std::optional<batch::call_decision>>();
        process.calls.request_run("c", hash, attempt,
                                  common::clock::now() + timeout,
                                  [decision](const batch::call_decision& it)
                                  {
                                      BOOST_TEST(!decision->has_value());
                                      *decision = it;
                                  });
        return decision;
    }

    bool wait_for(const pending_decision& decision)
    {
        return run_until(context,
                         [&decision] { return decision->has_value(); });
    }

    /// Reports the answer of the call "c" and waits until it is recorded.
    void report(batch_process& process, const std::string& body)
    {
        bool recorded = false;
        process.calls.report("c", {200, "text/plain", body},
                             [&](std::error_code ec) { recorded = !ec; });
        BOOST_REQUIRE(run_until(context, [&] { return recorded; }));
    }

    batch_process one{*this};
    batch_process two{*this, "m2"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_at_most_once_calls, fixture)

// Guards against two runs of a call that a caller sends to two entries at the
// same time.
BOOST_AUTO_TEST_CASE(
    call_requested_at_two_processes_runs_once_and_both_get_its_answer)
{
    const auto first = request_run(one, "r1");
    const auto second = request_run(two, "r2");
    BOOST_REQUIRE(run_until(
        context, [&] { return first->has_value() || second->has_value(); }));
    run_for(context, 50ms);
    BOOST_TEST(first->has_value() != second->has_value());
    auto& running_process = first->has_value() ? one : two;
    const auto& running = first->has_value() ? first : second;
    const auto& waiting = first->has_value() ? second : first;
    BOOST_TEST(((*running)->result == outcome::run));

    // The request that waited gets the same answer.
    report(running_process, "answer");
    BOOST_REQUIRE(wait_for(waiting));
    BOOST_TEST(((*waiting)->result == outcome::answered));
    BOOST_TEST((*waiting)->answer.body == "answer");
}

BOOST_AUTO_TEST_CASE(repeated_call_gets_the_recorded_answer)
{
    const auto first = request_run(one, "r1");
    BOOST_REQUIRE(wait_for(first));
    report(one, "answer");
    const auto second = request_run(two, "r2");
    BOOST_REQUIRE(wait_for(second));
    BOOST_TEST(((*second)->result == outcome::answered));
    BOOST_TEST((*second)->answer.status == 200);
    BOOST_TEST((*second)->answer.body == "answer");
}

BOOST_AUTO_TEST_CASE(key_with_other_content_is_a_conflict)
{
    BOOST_REQUIRE(wait_for(request_run(one, "r1")));
    const auto second = request_run(two, "r2", "other");
    BOOST_REQUIRE(wait_for(second));
    BOOST_TEST(((*second)->result == outcome::conflict));
}

BOOST_AUTO_TEST_CASE(
    waiting_request_runs_the_call_when_the_first_attempt_did_not)
{
    BOOST_REQUIRE(wait_for(request_run(one, "r1")));
    const auto second = request_run(two, "r2");
    run_for(context, 30ms);
    BOOST_TEST(!second->has_value());
    one.calls.report_not_run("c", "r1");
    BOOST_REQUIRE(wait_for(second));
    BOOST_TEST(((*second)->result == outcome::run));
}

// Guards against a request that waits forever. The process that ran the call
// may have been lost before it reported the outcome, so that it is unknown
// whether the call ran.
BOOST_AUTO_TEST_CASE(waiting_request_ends_as_outcome_unknown_at_its_deadline)
{
    BOOST_REQUIRE(wait_for(request_run(one, "r1")));
    const auto second = request_run(two, "r2", "h", 50ms);
    BOOST_REQUIRE(wait_for(second));
    BOOST_TEST(((*second)->result == outcome::answered));
    BOOST_TEST((*second)->answer.status == 0);
}

BOOST_AUTO_TEST_CASE(call_is_refused_while_the_store_refuses)
{
    store.append_outcome = []
    {
        return call_outcome::refused;
    };
    const auto it = request_run(one, "r1");
    BOOST_REQUIRE(wait_for(it));
    BOOST_TEST(((*it)->result == outcome::refused));
    BOOST_TEST(((*it)->ec == result_code::log_unavailable));
}

// Guards against a key that stays blocked: the append of an intent may be
// carried out after its request was refused, and no process runs the call for
// that intent.
BOOST_AUTO_TEST_CASE(late_intent_of_a_refused_request_is_undone)
{
    store.append_outcome = []
    {
        return call_outcome::late;
    };
    const auto it = request_run(one, "r1", "h", 60ms);
    BOOST_REQUIRE(wait_for(it));
    BOOST_TEST(((*it)->result == outcome::refused));
    BOOST_TEST(((*it)->ec == result_code::log_append_unknown));
    store.append_outcome = []
    {
        return call_outcome::done;
    };
    store.run_late();
    const auto second = request_run(two, "r2");
    BOOST_REQUIRE(wait_for(second));
    BOOST_TEST(((*second)->result == outcome::run));
}

BOOST_AUTO_TEST_CASE(
    retention_drops_finished_jobs_and_old_calls_but_keeps_open_jobs)
{
    auto& server = add_server();
    server.make_answer = make_events(1);
    one.add_target("t1", server);
    BOOST_REQUIRE(wait_for(request_run(one, "r1")));
    BOOST_TEST(one.accept("done", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return one.finished("done"); }));
    server.make_answer = nullptr;
    BOOST_TEST(one.accept("open", {one.make_item("b")}));

    batch::retention_settings settings;
    settings.jobs = 1ms;
    settings.calls = 1ms;
    settings.margin = 1ms;
    settings.interval = 5ms;
    batch::retention retention(context, one.jobs, settings);
    retention.start();
    BOOST_TEST(one.until([&] { return one.job("done") == nullptr; }));
    BOOST_TEST(
        one.until([&] { return one.jobs.table().find_call("c") == nullptr; }));

    // A job with open items is kept, also when it is older than the retention.
    BOOST_TEST(one.job("open") != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
