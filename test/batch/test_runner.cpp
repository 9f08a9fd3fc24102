#include "batch/batch_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

struct fixture : batch_world
{
    fixture()
    {
        server.make_answer = make_events(3);
        one.settings.event_patience = 100ms;
    }

    /// Accepts a job of one item and waits for its result.
    batch::job_result run(const std::string& id = "a")
    {
        BOOST_REQUIRE(one.accept("j-" + id, {one.make_item(id)}));
        BOOST_REQUIRE(one.until([&] { return one.finished("j-" + id); }));
        return read(one, "j-" + id).front();
    }

    static std::vector<batch::job_result> read(batch_process& where,
                                               const std::string& job)
    {
        std::vector<batch::job_result> out;
        bool told = false;
        where.reads.read(job, 0, 1024UL * 1024, 0ms,
                         [&](const batch::results_page& it)
                         {
                             BOOST_TEST(!it.ec);
                             out = it.results;
                             told = true;
                         });
        BOOST_REQUIRE(where.until([&] { return told; }));
        return out;
    }

    /// Whether a process knows progress of an item of the job "j".
    static bool has_progress(const batch_process& it)
    {
        const auto* job = it.job("j");
        return job != nullptr && !job->progress.empty();
    }

    /// Events up to `last` on an answer that stays open.
    static scripted_answer open_events(const std::string& request,
                                       unsigned last)
    {
        const auto whole = make_events(last)(request).bytes;
        return {whole.substr(0, whole.size() - chunk("").size())};
    }

    scripted_server& server = add_server();
    batch_process one{*this};
};

struct with_target : fixture
{
    with_target()
    {
        one.add_target("t1", server);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_runner, with_target)

BOOST_AUTO_TEST_CASE(item_runs_and_its_events_become_the_text)
{
    const auto it = run();
    BOOST_TEST((it.state == proto::ITEM_DONE));
    BOOST_TEST(it.text.text() == "e1\ne2\ne3");
    BOOST_TEST(one.items.counts().pending == 0);
    BOOST_TEST(one.items.counts().running == 0);
}

BOOST_AUTO_TEST_CASE(items_of_a_job_run_at_the_same_time)
{
    std::vector<proto::JobItem> its;
    for (int n = 0; n < 8; ++n)
        its.push_back(one.make_item("i" + std::to_string(n)));
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    BOOST_TEST(one.accept("j", its));
    BOOST_TEST(one.until([&] { return server.requests.size() == 8; }));
    BOOST_TEST(one.items.counts().running == 8);
}

// Guards against an item with time left that takes the place which a more
// urgent item of another entry needs.
BOOST_AUTO_TEST_CASE(places_are_left_to_more_urgent_items_of_others)
{
    one.waiting_elsewhere = 1000;
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    run_for(context, 50ms);
    BOOST_TEST(server.requests.empty());
    BOOST_TEST(one.items.counts().pending == 1);
    one.waiting_elsewhere = 0;
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
}

// Guards against a record that the store refuses for ever, so that no later
// end is recorded, and against a text without bound.
BOOST_AUTO_TEST_CASE(item_whose_text_does_not_fit_a_record_is_given_up)
{
    one.settings.max_text_bytes = 10;
    one.settings.event_patience = 10s;
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 5);
    };
    BOOST_REQUIRE(one.accept("open", {one.make_item("a")}));
    BOOST_TEST(one.until([&] { return one.finished("open"); }));
    server.make_answer = make_events(5);
    BOOST_TEST((run("b").state == proto::ITEM_DEAD));
    server.make_answer = make_events(3);
    BOOST_TEST((run("c").state == proto::ITEM_DONE));
}

// Guards against overload that makes everything late because what is late
// already comes first.
BOOST_AUTO_TEST_CASE(item_that_can_be_in_time_goes_before_a_late_one)
{
    one.settings.event_patience = 10s;
    one.set.remove("t1");
    one.add_target("t1", server, 1);
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    BOOST_REQUIRE(one.accept("first", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));

    auto late = batch_process::make_terms("late");
    late.due_after = 1ms;
    const auto verdict = one.submit(late, {one.make_item("b")});
    BOOST_REQUIRE(one.until([&] { return verdict->has_value(); }));
    BOOST_REQUIRE(one.accept("in-time", {one.make_item("c")}));
    const auto is_found_late = [&]
    {
        const auto waiting = one.items.waiting(8);
        return waiting.size() == 2 && !waiting[0].how.is_late &&
               waiting[1].how.is_late;
    };
    BOOST_REQUIRE(one.until(is_found_late));

    server.make_answer = make_events(3);
    server.close_all();
    BOOST_REQUIRE(one.until([&] { return one.finished("late"); }));
    std::vector<std::string> order;
    for (const auto& it : server.requests)
        order.push_back(field_of(it, "Id"));
    BOOST_TEST((std::ranges::find(order, "c") < std::ranges::find(order, "b")));
    BOOST_TEST(one.finished("in-time"));
}

BOOST_AUTO_TEST_CASE(item_that_can_never_be_done_is_given_up_at_once)
{
    server.make_answer = [](const std::string& it)
    {
        return scripted_answer{
            whole_answer(422, "no", answers_to(field_of(it, "Id")))};
    };
    BOOST_TEST((run().state == proto::ITEM_DEAD));
    BOOST_TEST(server.requests.size() == 1);
}

BOOST_AUTO_TEST_CASE(item_is_given_up_after_the_failures_that_its_route_allows)
{
    server.make_answer = [](const std::string& it)
    {
        return scripted_answer{
            whole_answer(500, "no", answers_to(field_of(it, "Id")))};
    };
    BOOST_TEST((run().state == proto::ITEM_DEAD));
    BOOST_TEST(server.requests.size() == 3);
}

// Statuses that say nothing of the item, and refusals, don't count as failures.
BOOST_AUTO_TEST_CASE(other_failures_are_tried_again)
{
    const auto id = answers_to("a");
    for (int n = 0; n < 4; ++n)
        server.add(whole_answer(503, "full", id + "Not-Run: 1\r\n"));
    server.add(whole_answer(504, "late", id));
    server.add("garbage\r\n\r\n", true);
    server.add("", true);
    const auto it = run();
    BOOST_TEST((it.state == proto::ITEM_DONE));
    BOOST_TEST(it.text.text() == "e1\ne2\ne3");
}

// Guards against a text with events that are missing or stand twice.
BOOST_AUTO_TEST_CASE(broken_run_goes_on_after_its_last_whole_event)
{
    server.add(chunked_head(200, answers_to("a")) + chunk(event(1, "e1")) +
                   chunk("id: 2\nda"),
               true);
    const auto it = run();
    BOOST_TEST(it.text.text() == "e1\ne2\ne3");
    BOOST_REQUIRE(server.requests.size() == 2);
    BOOST_TEST(field_of(server.requests[1], "After") == "1");
}

BOOST_AUTO_TEST_CASE(preempted_item_goes_on_after_its_last_event)
{
    server.add(open_events("x\r\nId: a\r\n", 2).bytes);
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    run_for(context, 20ms);
    BOOST_TEST(one.items.make_room(*one.set.find("t1")));
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    BOOST_TEST(read(one, "j").front().text.text() == "e1\ne2\ne3");
    BOOST_TEST(one.items.counts().preempted == 1);
}

// The one with the most time left loses least by waiting.
BOOST_AUTO_TEST_CASE(item_with_the_latest_due_time_gives_way_first)
{
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    one.until([&] { return one.jobs.is_current(); });
    auto terms = one.make_terms("later");
    terms.due_after = 60s;
    one.submit(terms, {one.make_item("late")});
    one.submit(one.make_terms("sooner"), {one.make_item("soon")});
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 2; }));
    BOOST_TEST(one.items.make_room(*one.set.find("t1")));
    BOOST_TEST(one.items.running_items("later") == 0);
    BOOST_TEST(one.items.running_items("sooner") == 1);
}

// Guards against a run that hangs with its target until the job's end.
BOOST_AUTO_TEST_CASE(item_on_a_silent_target_goes_on_elsewhere)
{
    auto& silent = add_server();
    silent.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    one.set.remove("t1");
    one.add_target("t0", silent);
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return silent.requests.size() == 1; }));
    one.add_target("t1", server);
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    BOOST_TEST(read(one, "j").front().text.text() == "e1\ne2\ne3");
    BOOST_TEST(silent.requests.size() == 1);
    BOOST_TEST(field_of(server.requests.back(), "After") == "1");
}

BOOST_AUTO_TEST_CASE(end_of_a_job_stops_its_items)
{
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    BOOST_TEST(one.accept("j", {one.make_item("a"), one.make_item("b")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 2; }));
    bool ended = false;
    one.reads.end("j", [&](std::error_code ec) { ended = !ec; });
    BOOST_TEST(
        one.until([&] { return ended && one.items.counts().running == 0; }));
    BOOST_TEST(one.until([&] { return server.closed == 2; }));
    BOOST_TEST(one.items.counts().pending == 0);
    BOOST_TEST(server.requests.size() == 2);
}

// Guards against results that vanish with an outage of the store.
BOOST_AUTO_TEST_CASE(results_wait_for_the_store)
{
    unsigned refusals = 0;
    BOOST_TEST(one.accept("j", {}) == false);
    server.make_answer = [&](const std::string& it)
    {
        store.append_outcome = [&]
        {
            return ++refusals < 5 ? call_outcome::refused : call_outcome::done;
        };
        return make_events(3)(it);
    };
    const auto it = run();
    BOOST_TEST((it.state == proto::ITEM_DONE));
    BOOST_TEST(refusals >= 5);
}

BOOST_AUTO_TEST_CASE(late_and_lost_writes_list_a_result_once)
{
    unsigned n = 0;
    server.make_answer = [&](const std::string& it)
    {
        store.append_outcome = [&]
        {
            constexpr std::array fates{
                call_outcome::late, call_outcome::answer_lost,
                call_outcome::request_lost, call_outcome::late};
            return n < 12 ? fates[n++ % fates.size()] : call_outcome::done;
        };
        return make_events(3)(it);
    };
    run();
    store.run_late();
    run_for(context, 30ms);
    BOOST_TEST(one.job("j-a")->results.size() == 1);
    BOOST_TEST(read(one, "j-a").front().text.text() == "e1\ne2\ne3");
}

BOOST_AUTO_TEST_CASE(paused_runner_stops_and_goes_on)
{
    server.add(open_events("x\r\nId: a\r\n", 2).bytes);
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    run_for(context, 20ms);
    one.items.set_paused(true);
    BOOST_TEST(one.items.counts().running == 0);
    run_for(context, 30ms);
    BOOST_TEST(server.requests.size() == 1);
    one.items.set_paused(false);
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
    BOOST_TEST(read(one, "j").front().text.text() == "e1\ne2\ne3");
}

BOOST_AUTO_TEST_CASE(items_of_a_removed_route_are_given_up)
{
    one.configuration = std::make_shared<fleet::configuration>(
        2, std::vector<fleet::route>(), std::vector<fleet::service>(),
        fleet::request_limits());
    BOOST_TEST((run().state == proto::ITEM_DEAD));
    BOOST_TEST(server.requests.empty());
}

BOOST_AUTO_TEST_CASE(items_wait_while_no_configuration_is_known)
{
    const auto known = std::exchange(one.configuration, nullptr);
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    run_for(context, 20ms);
    BOOST_TEST(server.requests.empty());
    one.configuration = known;
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
    BOOST_TEST((read(one, "j").front().state == proto::ITEM_DONE));
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

struct two_processes : with_target
{
    two_processes()
    {
        two.settings.event_patience = 100ms;
        two.add_target("t1", server);
        two.until([this] { return two.jobs.is_current(); });
    }

    void take(const std::string& job, const std::string& from,
              const std::string& to)
    {
        proto::JobRecord record;
        auto& taken = *record.mutable_taken();
        taken.set_job(job);
        taken.set_from(from);
        taken.set_member(to);
        append(record);
    }

    batch_process two{*this, "m2"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_runners, two_processes)

BOOST_AUTO_TEST_CASE(job_that_was_taken_is_run_by_the_other_process)
{
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    server.make_answer = make_events(3);
    take("j", "m1", "m2");
    BOOST_TEST(two.until([&] { return two.finished("j"); }));
    BOOST_TEST(one.items.counts().running == 0);
    BOOST_TEST(two.items.counts().done == 1);
    BOOST_TEST(read(two, "j").front().text.text() == "e1\ne2\ne3");
}

// Both may finish the item; the first result in the log counts everywhere.
BOOST_AUTO_TEST_CASE(two_runs_of_an_item_give_one_result)
{
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    take("j", "m1", "m2");
    BOOST_TEST(
        two.until([&] { return two.finished("j") && one.finished("j"); }));
    run_for(context, 30ms);
    BOOST_TEST(one.job("j")->results == two.job("j")->results);
    BOOST_TEST(one.job("j")->results.size() == 1);
}

BOOST_AUTO_TEST_CASE(planned_stop_hands_over_what_was_reached)
{
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 2);
    };
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    run_for(context, 20ms);
    bool done = false;
    one.items.hand_over([&done] { done = true; });
    BOOST_REQUIRE(one.until([&] { return done; }));
    server.make_answer = make_events(3);
    take("j", "m1", "m2");
    BOOST_TEST(two.until([&] { return two.finished("j"); }));
    BOOST_TEST(field_of(server.requests.back(), "After") == "2");
    BOOST_TEST(read(two, "j").front().text.text() == "e1\ne2\ne3");
}

// Guards against items that start over when their process is lost without
// warning, as all of them are when all hosts lose power.
BOOST_AUTO_TEST_CASE(lost_process_leaves_what_was_reached)
{
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 2);
    };
    one.settings.event_patience = 10s;
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(two.until([&] { return has_progress(two); }));
    server.make_answer = make_events(3);
    take("j", "m1", "m2");
    BOOST_TEST(two.until([&] { return two.finished("j"); }));
    BOOST_TEST(field_of(server.requests.back(), "After") == "2");
    BOOST_TEST(read(two, "j").front().text.text() == "e1\ne2\ne3");
}

// Guards against progress whose text and last event are from different moments:
// events go on to come while the store takes the text.
BOOST_AUTO_TEST_CASE(recorded_progress_is_from_one_moment)
{
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    one.settings.event_patience = 10s;
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    for (unsigned n = 2; n < 40; ++n)
    {
        server.send_all(chunk(event(n, "e" + std::to_string(n))));
        run_for(context, 1ms);
    }
    BOOST_REQUIRE(two.until([&] { return has_progress(two); }));
    server.make_answer = make_events(50);
    take("j", "m1", "m2");
    BOOST_REQUIRE(two.until([&] { return two.finished("j"); }));
    std::string whole = "e1";
    for (unsigned n = 2; n <= 50; ++n)
        whole += "\ne" + std::to_string(n);
    BOOST_TEST(read(two, "j").front().text.text() == whole);
}

// Guards against a planned stop that loses everything because the texts are
// too large for one append.
BOOST_AUTO_TEST_CASE(planned_stop_hands_over_more_than_one_append_takes)
{
    constexpr int n_items = 12;
    const std::string text(200UL * 1024, 'x');
    one.add_target("t2", server);
    one.settings.progress.interval = 0ms;
    one.settings.event_patience = 10s;
    server.make_answer = [&text](const std::string& it)
    {
        return scripted_answer{
            chunked_head(200, answers_to(field_of(it, "Id"))) +
            chunk(event(1, text))};
    };
    std::vector<proto::JobItem> its;
    for (int n = 0; n < n_items; ++n)
        its.push_back(one.make_item("i" + std::to_string(n)));
    BOOST_REQUIRE(one.accept("j", its));
    BOOST_REQUIRE(one.until(
        [&]
        {
            run_for(context, 5ms);
            return server.requests.size() == n_items;
        }));
    run_for(context, 50ms);
    bool done = false;
    one.items.hand_over([&done] { done = true; });
    BOOST_REQUIRE(one.until([&] { return done; }));
    BOOST_REQUIRE(two.until([&] { return has_progress(two); }));
    BOOST_TEST(one.job("j")->progress.size() == n_items);
}

// Guards against a second run of an item that may run once, after the process
// that may have run it is gone.
BOOST_AUTO_TEST_CASE(item_that_may_run_once_is_not_run_by_its_next_owner)
{
    auto item = one.make_item("a");
    item.set_not_repeatable(true);
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    BOOST_TEST(one.accept("j", {item}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    take("j", "m1", "m2");
    BOOST_TEST(two.until([&] { return two.finished("j"); }));
    BOOST_TEST((read(two, "j").front().state == proto::ITEM_UNKNOWN));
    BOOST_TEST(server.requests.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(batch_runner_once, with_target)

BOOST_AUTO_TEST_CASE(item_that_may_run_once_is_run_after_its_intent)
{
    auto item = one.make_item("a");
    item.set_not_repeatable(true);
    BOOST_TEST(one.accept("j", {item}));
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
    BOOST_TEST((read(one, "j").front().state == proto::ITEM_DONE));
    BOOST_TEST(server.requests.size() == 1);
}

BOOST_AUTO_TEST_CASE(item_that_may_run_once_is_not_sent_again_after_a_break)
{
    auto item = one.make_item("a");
    item.set_not_repeatable(true);
    server.add("", true);
    BOOST_TEST(one.accept("j", {item}));
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
    BOOST_TEST((read(one, "j").front().state == proto::ITEM_UNKNOWN));
    BOOST_TEST(server.requests.size() == 1);
}

BOOST_AUTO_TEST_CASE(item_that_may_run_once_is_not_taken_back)
{
    auto item = one.make_item("a");
    item.set_not_repeatable(true);
    server.add(open_events("x\r\nId: a\r\n", 1).bytes);
    BOOST_TEST(one.accept("j", {item}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    BOOST_TEST(!one.items.make_room(*one.set.find("t1")));
    one.items.set_paused(true);
    BOOST_TEST(one.items.counts().running == 1);
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

struct crowded : fixture
{
    crowded()
    {
        one.add_target("t1", server, 2);
        server.make_answer = [](const std::string& it)
        {
            return open_events(it, 1);
        };
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_runner_crowded, crowded)

// Batch work takes only what online work leaves.
BOOST_AUTO_TEST_CASE(no_more_items_run_than_there_are_free_places)
{
    one.set.find("t1")->load.peer_online = 1;
    BOOST_TEST(one.accept("j", {one.make_item("a"), one.make_item("b")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    run_for(context, 30ms);
    BOOST_TEST(one.items.counts().running == 1);
    BOOST_TEST(one.items.counts().pending == 1);
}

BOOST_AUTO_TEST_CASE(items_give_way_when_others_fill_the_target)
{
    BOOST_TEST(one.accept("j", {one.make_item("a"), one.make_item("b")}));
    BOOST_REQUIRE(one.until([&] { return one.items.counts().running == 2; }));
    one.set.find("t1")->load.peer_online = 1;
    one.items.yield();
    BOOST_TEST(one.items.counts().running == 1);
    one.set.find("t1")->load.peer_online = 2;
    one.items.yield();
    BOOST_TEST(one.items.counts().running == 0);
}

BOOST_AUTO_TEST_SUITE_END()
