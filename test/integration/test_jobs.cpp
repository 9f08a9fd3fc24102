#include "common/clock.hpp"
#include "integration/eventually.hpp"
#include "integration/fleet.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

constexpr int items = 1000;
constexpr int tokens = 8;

/// Options with which two engines need about 10 s for a job, so that a fault
/// can be injected while it runs.
const std::vector<std::string> slow_engines{"--base-us", "40000"};

/// Waits until at least 5 % of the items of a job have a result, and checks
/// that some have none.
void wait_for_progress(const fleet& running_fleet, int entry,
                       const std::string& id)
{
    BOOST_REQUIRE(eventually(
        30s,
        [&] { return running_fleet.finished_items(entry, id) >= items / 20; }));
    BOOST_TEST(running_fleet.finished_items(entry, id) < items);
}

} // namespace

BOOST_AUTO_TEST_SUITE(jobs)

// Guards against items without a result, with several results, or with the
// result of another item.
BOOST_AUTO_TEST_CASE(each_item_of_a_completed_job_has_one_result)
{
    fleet it({});
    const auto id = it.submit(1, "plain", job_lines(items, tokens));
    BOOST_TEST(it.wait_for_job(2, id, "completed", 60s));
    check_results(it.results(1, id), items, tokens);
    check_results(it.results(2, id), items, tokens);
    BOOST_TEST(it.engines_total("max_running") > 0);
}

// Guards against a second job when a job is submitted with the same idempotency
// key to two entries at the same time.
BOOST_AUTO_TEST_CASE(job_submitted_to_two_entries_is_accepted_once)
{
    fleet it({});
    const auto before = it.engines_total("finished");
    const auto lines = job_lines(items, tokens);
    auto other = std::async(std::launch::async,
                            [&] { return it.submit(2, "twice", lines); });
    const auto id = it.submit(1, "twice", lines);
    BOOST_TEST(other.get() == id);
    BOOST_TEST(it.wait_for_job(1, id, "completed", 60s));
    check_results(it.results(2, id), items, tokens);
    BOOST_TEST(it.engines_total("finished") - before == items);
}

// Guards against lost items when the engine that runs them is killed.
BOOST_AUTO_TEST_CASE(all_items_complete_when_an_engine_is_killed)
{
    fleet it({.engine_options = slow_engines});
    const auto id = it.submit(1, "engine", job_lines(items, tokens));
    wait_for_progress(it, 1, id);
    BOOST_REQUIRE(eventually(
        10s, [&] { return it.seen("engine-1").at("running") != 0; }));
    it.process_of("engine-1").kill();
    BOOST_TEST(it.wait_for_job(1, id, "completed", 90s));
    check_results(it.results(2, id), items, tokens);
}

// Guards against accepted items that are lost, or get two results, when the
// entry that runs them is killed and another one continues the job.
BOOST_AUTO_TEST_CASE(all_items_complete_when_the_runner_is_killed)
{
    fleet it({.engine_options = slow_engines});
    const auto id = it.submit(1, "runner", job_lines(items, tokens));
    wait_for_progress(it, 1, id);
    BOOST_TEST(it.runner_of(2, id) == "entry-1");
    const auto finished = it.finished_items(2, id);
    it.process_of("entry-1").kill();

    // The design allows 6 s until another entry runs the job.
    BOOST_TEST(
        eventually(6s, [&] { return it.runner_of(2, id) == "entry-2"; }));
    BOOST_TEST(
        eventually(5s, [&] { return it.finished_items(2, id) > finished; }));
    BOOST_TEST(it.wait_for_job(2, id, "completed", 90s));
    check_results(it.results(2, id), items, tokens);
}

// Guards against items with two results when the answers to appends are lost
// and the entry repeats the appends.
BOOST_AUTO_TEST_CASE(items_have_one_result_when_append_answers_are_lost)
{
    fleet it({});
    it.set_fault("store", R"({"lose_answers":5,"lose_before":3})");
    const auto id = it.submit(1, "answers", job_lines(items, tokens));
    BOOST_TEST(it.wait_for_job(1, id, "completed", 90s));
    check_results(it.results(2, id), items, tokens);
    BOOST_TEST(it.seen("store").at("lost_answers") == 8);
}

// Guards against lost items and failing online requests while the store is
// down, and against new jobs that are accepted without a record in the store.
BOOST_AUTO_TEST_CASE(store_outage_stops_no_accepted_work)
{
    fleet it({.engine_options = slow_engines});
    const auto id = it.submit(1, "outage", job_lines(items, tokens));
    wait_for_progress(it, 1, id);
    it.set_fault("store", R"({"outage":true})");
    BOOST_TEST(
        eventually(10s, [&] { return it.seen("store").at("refused") != 0; }));

    const auto online = it.call(2, chat("ciao", tokens));
    BOOST_TEST(online.status == 200);
    const auto refused = it.call(1, {.method = "POST",
                                     .target = "/v1/batches",
                                     .content_type = "application/jsonl",
                                     .idempotency_key = "during-outage",
                                     .body = job_lines(10, tokens)});
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.body.find("\"not_run\"") != std::string::npos);

    it.set_fault("store", R"({"outage":false})");
    BOOST_TEST(it.wait_for_job(1, id, "completed", 90s));
    check_results(it.results(2, id), items, tokens);
}

// Guards against a caller that is told of a state by one entry and gets an
// older one from another: entries that rarely read the log by themselves are
// behind.
BOOST_AUTO_TEST_CASE(
    state_reported_by_one_entry_holds_at_another_that_is_behind)
{
    fleet it({.entry_settings = "store:\n  jobs_interval_ms: 20000\n"});
    const auto id = it.submit(1, "behind", job_lines(items, tokens));
    for (const int entry : {2, 1, 2})
    {
        BOOST_TEST(it.wait_for_job(entry, id, "completed", 60s));
        const int other = 3 - entry;
        BOOST_TEST(it.finished_items(other, id) == items);
        check_results(it.results(other, id), items, tokens);
    }
    const auto list =
        it.call(2, {.method = "GET", .target = "/v1/batches"}).body;
    BOOST_TEST(list.find(id) != std::string::npos);
    BOOST_TEST(list.find("\"completed\"") != std::string::npos);

    const auto cancelled = it.submit(1, "cancelled", job_lines(items, tokens));
    const auto answer =
        it.call(2, {.method = "POST",
                    .target = "/v1/batches/" + cancelled + "/cancel"});
    BOOST_TEST(answer.status < 300);
    BOOST_TEST(it.job(1, cancelled).at("status") != "in_progress");
}

// Guards against items that start after the cancellation of their job was
// confirmed.
BOOST_AUTO_TEST_CASE(cancelled_job_starts_no_more_items)
{
    fleet it({.engine_options = slow_engines});
    const auto id = it.submit(1, "cancel", job_lines(items, tokens));
    wait_for_progress(it, 1, id);
    const auto answer = it.call(
        2, {.method = "POST", .target = "/v1/batches/" + id + "/cancel"});
    BOOST_TEST(answer.status < 300);
    BOOST_REQUIRE(it.wait_for_job(1, id, "cancelled", 20s));
    const auto confirmed_ms = common::unix_time_ms();
    // An engine notices a closed connection at its next step.
    BOOST_TEST(
        eventually(1s, [&] { return it.engines_total("running") == 0; }));

    // Online requests afterwards show that the engines still execute requests
    // and list them, so that an item started late would be listed as well.
    const auto started = it.engines_total("started");
    constexpr int online_requests = 20;
    for (int n = 0; n < online_requests; ++n)
        BOOST_TEST(it.call(1 + n % 2, chat("ciao", tokens)).status == 200);
    BOOST_TEST(it.engines_total("started") - started == online_requests);
    int started_later = 0;
    for (const auto* name : {"engine-1", "engine-2"})
    {
        const auto seen = it.seen(name);
        for (const auto& row : seen.at("executions").as_array())
            if (row.at("started_ms").to_number<std::uint64_t>() > confirmed_ms)
                ++started_later;
    }
    BOOST_TEST(started_later == online_requests);

    // Each item has one result: of its completion, or of its cancellation.
    BOOST_TEST(it.results(2, id).size() == items);
}

BOOST_AUTO_TEST_SUITE_END()
