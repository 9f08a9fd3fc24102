#include "batch/batch_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;
using common::result_code;

namespace
{

std::optional<batch::results_page>
read(batch_process& process, const std::string& job, std::size_t after,
     std::chrono::milliseconds wait = 0ms, std::size_t max_bytes = 1000000)
{
    std::optional<batch::results_page> page;
    process.results.read(job, after, max_bytes, wait, common::clock::now(),
                         [&page](const batch::results_page& it) { page = it; });
    process.until([&page] { return page.has_value(); });
    return page;
}

struct fixture : batch_cluster
{
    fixture()
    {
        server.make_answer = make_events(2);
        one.add_target("t1", server);
        two.until([this]
                  { return two.jobs.is_current() && one.jobs.is_current(); });
    }

    scripted_server& server = add_server();
    batch_process one{*this};
    batch_process two{*this, "m2"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_results, fixture)

// Guards against a 404 response for a job that another entry has just accepted.
BOOST_AUTO_TEST_CASE(accepted_job_is_readable_at_another_process_at_once)
{
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    const auto page = read(two, "j", 0);
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(!page->ec);
    BOOST_TEST(page->items == 1);
}

BOOST_AUTO_TEST_CASE(job_is_reported_as_unknown_only_if_the_log_can_be_read)
{
    BOOST_TEST((read(two, "j", 0)->ec == result_code::unknown_job));
    store.read_outcome = []
    {
        return call_outcome::refused;
    };
    BOOST_TEST((read(two, "j", 0)->ec == result_code::log_unavailable));
}

// Guards against a result that a caller misses or gets twice because it reads
// pages from different processes.
BOOST_AUTO_TEST_CASE(results_have_the_same_positions_at_all_processes)
{
    std::vector<proto::JobItem> items;
    for (int n = 0; n < 10; ++n)
        items.push_back(one.make_item("i" + std::to_string(n)));
    BOOST_TEST(one.accept("j", items));
    BOOST_REQUIRE(
        one.until([&] { return one.finished("j") && two.finished("j"); }));
    const auto first = read(one, "j", 0);
    const auto second = read(two, "j", 0);
    BOOST_REQUIRE(first->results.size() == 10);
    BOOST_REQUIRE(second->results.size() == 10);
    for (std::size_t n = 0; n < 10; ++n)
        BOOST_TEST(first->results[n].text.item() ==
                   second->results[n].text.item());
}

BOOST_AUTO_TEST_CASE(page_has_one_result_even_if_it_exceeds_the_size_limit)
{
    BOOST_TEST(one.accept("j", {one.make_item("a"), one.make_item("b")}));
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    const auto page = read(one, "j", 0, 0ms, 1);
    BOOST_TEST(page->results.size() == 1);
    BOOST_TEST(page->next == 1);
    BOOST_TEST(read(one, "j", 1)->results.size() == 1);
    BOOST_TEST(read(one, "j", 2)->results.empty());
}

BOOST_AUTO_TEST_CASE(read_waits_for_a_result)
{
    server.make_answer = nullptr;
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    std::optional<batch::results_page> page;
    two.results.read("j", 0, 1000, 10s, common::clock::now(),
                     [&page](const batch::results_page& it) { page = it; });
    run_for(context, 50ms);
    BOOST_TEST(!page.has_value());
    server.send_all(make_events(2)("x\r\nId: a\r\n").bytes);
    BOOST_REQUIRE(two.until([&] { return page.has_value(); }));
    BOOST_TEST(page->results.size() == 1);
}

BOOST_AUTO_TEST_CASE(read_without_a_result_ends_after_its_wait)
{
    server.make_answer = nullptr;
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    const auto page = read(two, "j", 0, 30ms);
    BOOST_TEST(!page->ec);
    BOOST_TEST(page->results.empty());
    BOOST_TEST(page->items == 1);
}

BOOST_AUTO_TEST_CASE(body_of_an_open_item_is_readable_at_another_process)
{
    server.make_answer = nullptr;
    BOOST_TEST(one.accept("j", {one.make_item("a"), one.make_item("b")}));
    std::optional<std::string> body;
    two.results.read_body("j", "b",
                          [&](std::error_code ec, const std::string& it)
                          {
                              BOOST_TEST(!ec);
                              body = it;
                          });
    BOOST_REQUIRE(two.until([&] { return body.has_value(); }));
    BOOST_TEST(*body == "body of b");

    std::error_code error;
    two.results.read_body(
        "j", "c", [&](std::error_code ec, const std::string&) { error = ec; });
    BOOST_TEST((error == result_code::unknown_job));
}

BOOST_AUTO_TEST_CASE(cancelling_a_cancelled_job_succeeds)
{
    server.make_answer = nullptr;
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    for (auto* process : {&one, &two, &one})
    {
        std::optional<std::error_code> result;
        process->results.cancel("j", [&](std::error_code ec) { result = ec; });
        BOOST_REQUIRE(process->until([&] { return result.has_value(); }));
        BOOST_TEST(!*result);
    }
    BOOST_TEST(one.until([&] { return one.job("j")->cancelled; }));
}

// Guards against a cancellation that is confirmed but not recorded.
BOOST_AUTO_TEST_CASE(cancellation_is_not_confirmed_while_the_store_refuses)
{
    server.make_answer = nullptr;
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    store.append_outcome = []
    {
        return call_outcome::refused;
    };
    std::optional<std::error_code> result;
    one.results.cancel("j", [&](std::error_code ec) { result = ec; });
    BOOST_REQUIRE(one.until([&] { return result.has_value(); }));
    BOOST_TEST((*result == result_code::log_unavailable));
    BOOST_TEST(!one.job("j")->cancelled);
}

BOOST_AUTO_TEST_CASE(malformed_record_of_the_log_is_skipped)
{
    store.model.append({"jobs", 0, {std::string("\xff\xff\xff junk")}},
                       common::clock::now());
    store.wake();
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
}

// Guards against a process that can't start because the store has dropped the
// first records. The state in the dropped records is lost; later records are
// applied as usual.
BOOST_AUTO_TEST_CASE(process_reads_on_after_expired_records)
{
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    store.model.trim("jobs", 0, store.model.end("jobs", 0));
    batch_process late(*this, "m3");
    BOOST_REQUIRE(late.until([&] { return late.jobs.is_current(); }));
    BOOST_TEST((read(late, "j", 0)->ec == result_code::unknown_job));
    late.add_target("t1", server);
    BOOST_TEST(late.accept("k", {late.make_item("b")}));
    BOOST_TEST(late.until([&] { return late.finished("k"); }));
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

/// Result of a read of a job's state.
struct job_state
{
    std::error_code ec;
    bool is_known = false;
    std::size_t results = 0;
    bool cancelled = false;
};

/// One process that runs jobs, and one whose follower is held: it learns of
/// records only by reads that its callers ask for.
struct held_fixture : batch_cluster
{
    held_fixture()
    {
        server.make_answer = make_events(2);
        runner.add_target("t1", server);
        held.until(
            [this]
            { return held.jobs.is_current() && runner.jobs.is_current(); });
    }

    job_state find_current(batch_process& process, const std::string& job)
    {
        std::optional<job_state> state;
        process.results.find_current(
            job, common::clock::now(),
            [&state](std::error_code ec, const state::batch_job* it)
            {
                state = job_state{ec, it != nullptr,
                                  it == nullptr ? 0 : it->results.size(),
                                  it != nullptr && it->cancelled};
            });
        BOOST_REQUIRE(process.until([&state] { return state.has_value(); }));
        return *state;
    }

    /// Has the runner accept a job of `n` items and end all of them.
    void complete_job(const std::string& job, unsigned n)
    {
        std::vector<proto::JobItem> items;
        for (unsigned i = 0; i < n; ++i)
            items.push_back(runner.make_item("i" + std::to_string(i)));
        BOOST_REQUIRE(runner.accept(job, items));
        BOOST_REQUIRE(runner.until([&] { return runner.finished(job); }));
    }

    scripted_server& server = add_server();
    batch_process runner{*this};
    batch_process held{*this, "m2", held_follower_settings()};
};

} // namespace

// Guards against reads that go back: a caller is told of a state by one process
// and asks another one, whose follower has not read the records of that state.
BOOST_FIXTURE_TEST_SUITE(monotonic_reads, held_fixture)

BOOST_AUTO_TEST_CASE(completed_job_is_completed_at_a_process_that_is_behind)
{
    complete_job("j", 10);
    BOOST_REQUIRE(held.job("j") == nullptr);
    const auto state = find_current(held, "j");
    BOOST_TEST(!state.ec);
    BOOST_TEST(state.results == 10);
}

BOOST_AUTO_TEST_CASE(all_results_are_listed_at_a_process_that_knows_some)
{
    server.make_answer = nullptr;
    BOOST_REQUIRE(runner.accept("j", {runner.make_item("a")}));
    BOOST_TEST(find_current(held, "j").results == 0);
    BOOST_REQUIRE(runner.until([&] { return server.requests.size() == 1; }));
    server.send_all(make_events(2)("x\r\nId: a\r\n").bytes);
    BOOST_REQUIRE(runner.until([&] { return runner.finished("j"); }));
    BOOST_REQUIRE(held.job("j")->results.empty());
    const auto page = read(held, "j", 0);
    BOOST_TEST(!page->ec);
    BOOST_TEST(page->results.size() == 1);
}

BOOST_AUTO_TEST_CASE(read_that_waits_ends_with_the_results_recorded_before_it)
{
    server.make_answer = nullptr;
    BOOST_REQUIRE(runner.accept("j", {runner.make_item("a")}));
    BOOST_TEST(find_current(held, "j").is_known);
    BOOST_REQUIRE(runner.until([&] { return server.requests.size() == 1; }));
    server.send_all(make_events(2)("x\r\nId: a\r\n").bytes);
    BOOST_REQUIRE(runner.until([&] { return runner.finished("j"); }));
    const auto page = read(held, "j", 0, 30ms);
    BOOST_TEST(!page->ec);
    BOOST_TEST(page->results.size() == 1);
}

BOOST_AUTO_TEST_CASE(cancelled_job_is_cancelled_at_a_process_that_is_behind)
{
    server.make_answer = nullptr;
    BOOST_REQUIRE(runner.accept("j", {runner.make_item("a")}));
    BOOST_TEST(!find_current(held, "j").cancelled);
    std::optional<std::error_code> result;
    runner.results.cancel("j", [&](std::error_code ec) { result = ec; });
    BOOST_REQUIRE(runner.until([&] { return result.has_value(); }));
    BOOST_REQUIRE(!held.job("j")->cancelled);
    BOOST_TEST(find_current(held, "j").cancelled);
}

// The whole list of jobs is made from the table once a confirmation succeeded.
BOOST_AUTO_TEST_CASE(list_at_a_process_that_is_behind_has_all_accepted_jobs)
{
    BOOST_REQUIRE(runner.accept("j", {runner.make_item("a")}));
    BOOST_REQUIRE(runner.accept("k", {runner.make_item("a")}));
    BOOST_REQUIRE(held.jobs.table().size() == 0);
    std::optional<std::error_code> result;
    held.results.confirm(common::clock::now(),
                         [&](std::error_code ec) { result = ec; });
    BOOST_REQUIRE(held.until([&] { return result.has_value(); }));
    BOOST_TEST(!*result);
    BOOST_TEST(held.jobs.table().size() == 2);
}

// Guards against an old state in place of an error, and against a caller who
// waits without end, when this process alone can't read the log.
BOOST_AUTO_TEST_CASE(state_is_refused_while_the_process_can_not_read_the_log)
{
    server.make_answer = nullptr;
    BOOST_REQUIRE(runner.accept("j", {runner.make_item("a")}));
    BOOST_TEST(find_current(held, "j").is_known);
    for (const auto outcome : {call_outcome::refused, call_outcome::silent})
    {
        held.log_reads = outcome;
        BOOST_TEST(
            (find_current(held, "j").ec == result_code::log_unavailable));
        BOOST_TEST((read(held, "j", 0)->ec == result_code::log_unavailable));
        BOOST_TEST(
            (read(held, "j", 0, 20ms)->ec == result_code::log_unavailable));
        BOOST_TEST(!find_current(runner, "j").ec);
    }
}

// Results that are known don't change, so that they are listed without the
// store.
BOOST_AUTO_TEST_CASE(known_results_are_listed_while_the_log_can_not_be_read)
{
    complete_job("j", 2);
    BOOST_TEST(find_current(held, "j").results == 2);
    held.log_reads = call_outcome::silent;
    const auto page = read(held, "j", 0);
    BOOST_TEST(!page->ec);
    BOOST_TEST(page->results.size() == 2);
}

BOOST_AUTO_TEST_CASE(state_is_reported_again_once_the_store_is_back)
{
    BOOST_REQUIRE(runner.accept("j", {runner.make_item("a")}));
    store.read_outcome = []
    {
        return call_outcome::refused;
    };
    BOOST_TEST((find_current(held, "j").ec == result_code::log_unavailable));
    store.read_outcome = []
    {
        return call_outcome::done;
    };
    BOOST_REQUIRE(runner.until([&] { return runner.finished("j"); }));
    const auto state = find_current(held, "j");
    BOOST_TEST(!state.ec);
    BOOST_TEST(state.results == 1);
}

// Guards against a call to the store for each read of a job.
BOOST_AUTO_TEST_CASE(reads_at_the_same_time_share_one_read_of_the_log)
{
    constexpr unsigned readers = 100;
    complete_job("j", 1);
    std::size_t log_reads = 0;
    held.on_log_read = [&log_reads]
    {
        ++log_reads;
    };
    unsigned answered = 0;
    for (unsigned n = 0; n < readers; ++n)
        held.results.find_current(
            "j", common::clock::now(),
            [&](std::error_code ec, const state::batch_job* job)
            { answered += !ec && job->results.size() == 1 ? 1 : 0; });
    BOOST_REQUIRE(held.until([&] { return answered == readers; }));
    BOOST_TEST(log_reads <= 2);
}

BOOST_AUTO_TEST_SUITE_END()
