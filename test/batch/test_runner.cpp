#include "batch/batch_fixture.hpp"
#include "common/periodic_timer.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

struct fixture : batch_cluster
{
    fixture()
    {
        server.make_answer = make_events(3);
        one.settings.event_timeout = 100ms;
    }

    /// Submits a job of one item and returns the item's result.
    batch::job_result run(const std::string& id = "a")
    {
        BOOST_REQUIRE(one.accept("j-" + id, {one.make_item(id)}));
        BOOST_REQUIRE(one.until([&] { return one.finished("j-" + id); }));
        return read(one, "j-" + id).front();
    }

    static std::vector<batch::job_result> read(batch_process& process,
                                               const std::string& job)
    {
        return process.read(job);
    }

    /// Returns true if the process knows progress of an item of the job "j".
    static bool has_progress(const batch_process& process)
    {
        const auto* job = process.job("j");
        return job != nullptr && !job->progress.empty();
    }

    /// Returns an answer with the events up to `last` that does not end.
    static scripted_answer open_events(const std::string& request,
                                       unsigned last)
    {
        const auto complete = make_events(last)(request).bytes;
        return {complete.substr(0, complete.size() - chunk("").size())};
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
    BOOST_TEST(one.runner.counts().pending == 0);
    BOOST_TEST(one.runner.counts().running == 0);
}

BOOST_AUTO_TEST_CASE(items_of_a_job_run_concurrently)
{
    std::vector<proto::JobItem> items;
    for (int n = 0; n < 8; ++n)
        items.push_back(one.make_item("i" + std::to_string(n)));
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    BOOST_TEST(one.accept("j", items));
    BOOST_TEST(one.until([&] { return server.requests.size() == 8; }));
    BOOST_TEST(one.runner.counts().running == 8);
}

// Guards against an item with time left that takes a slot which a more urgent
// item of another entry needs.
BOOST_AUTO_TEST_CASE(slots_are_left_to_more_urgent_items_of_peers)
{
    one.peer_items_ahead = 1000;
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    run_for(context, 50ms);
    BOOST_TEST(server.requests.empty());
    BOOST_TEST(one.runner.counts().pending == 1);
    one.peer_items_ahead = 0;
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
}

// Guards against a record that is too large for the store, which would refuse
// it forever so that no later end is recorded, and against a text that grows
// without bound.
BOOST_AUTO_TEST_CASE(item_ends_when_its_text_exceeds_the_maximum_size)
{
    one.settings.max_text_bytes = 10;
    one.settings.event_timeout = 10s;
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

// Guards against items that are given up because a target in trouble sends more
// than it should: the other target must get them. Guards also against a text
// that grows by all that arrives between two checks.
BOOST_AUTO_TEST_CASE(item_with_too_large_a_text_runs_on_another_target)
{
    one.settings.max_text_bytes = 1000;
    one.settings.event_timeout = 10s;
    auto& sound = add_server();
    sound.make_answer = make_events(3);
    server.make_answer = [](const std::string& request)
    {
        return open_events(request, 5000);
    };
    one.add_target("t2", sound);
    std::vector<proto::JobItem> items;
    for (int n = 0; n < 6; ++n)
        items.push_back(one.make_item("i" + std::to_string(n), 10000));
    BOOST_REQUIRE(one.accept("j", items));
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    BOOST_TEST(!server.requests.empty());
    for (const auto& it : read(one, "j"))
    {
        BOOST_TEST((it.state == proto::ITEM_DONE));
        BOOST_TEST(it.text.text() == "e1\ne2\ne3");
    }
}

// Guards against an item of the users' platform that is given up before its
// route permits it, though no target has refused it.
BOOST_AUTO_TEST_CASE(item_with_too_large_a_text_is_kept_until_it_expires)
{
    one.settings.max_text_bytes = 10;
    one.add_route(1, 500ms, 2);
    server.make_answer = make_events(5);
    const auto submitted = common::clock::now();
    BOOST_TEST((run("a").state == proto::ITEM_DEAD));
    BOOST_TEST((common::clock::now() - submitted >= 500ms));
    BOOST_TEST(server.requests.size() > 1);
}

// Guards against a target that sends events without end, and that goes on
// getting items: the limit of a text is reached late, and does not count
// against a target.
BOOST_AUTO_TEST_CASE(target_is_avoided_if_it_sends_more_events_than_items_have)
{
    auto& sound = add_server();
    sound.make_answer = make_events(3);
    server.make_answer = [](const std::string& request)
    {
        return open_events(request, 100);
    };
    one.settings.event_timeout = 10s;
    BOOST_REQUIRE(one.accept("j", {one.make_item("a", 20)}));
    const auto is_avoided = [&]
    {
        return one.targets.find("t1")->load.health.is_avoided(
            common::clock::now());
    };
    BOOST_REQUIRE(one.until(is_avoided));
    one.add_target("t2", sound);
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    BOOST_TEST(read(one, "j").front().text.text() == "e1\ne2\ne3");
}

// Guards against an item that waits for ever for a target that sends events
// without numbers, or comments: neither adds to its text.
BOOST_AUTO_TEST_CASE(item_runs_elsewhere_if_its_events_have_no_numbers)
{
    auto& sound = add_server();
    for (const std::string piece : {"data: x\n\n", ": comment\n\n"})
    {
        server.make_answer = [piece](const std::string& request)
        {
            return scripted_answer{
                chunked_head(200, answers_to(field_of(request, "Id"))) +
                chunk(piece)};
        };
        sound.make_answer = server.make_answer;
        const std::string id = piece.substr(0, 1) == ":" ? "a" : "b";
        common::periodic_timer trickle(context, 5ms,
                                       [&] { server.send_all(chunk(piece)); });
        trickle.start();
        BOOST_REQUIRE(one.accept("j-" + id, {one.make_item(id)}));
        const auto sent = server.requests.size();
        BOOST_REQUIRE(one.until([&] { return server.requests.size() > sent; }));
        sound.make_answer = make_events(3);
        one.add_target("t-" + id, sound);
        BOOST_TEST(one.until([&] { return one.finished("j-" + id); }));
        BOOST_TEST(read(one, "j-" + id).front().text.text() == "e1\ne2\ne3");
        one.targets.remove("t-" + id);
    }
}

// Guards against all items being late in an overload, because those that are
// late already start first.
BOOST_AUTO_TEST_CASE(item_that_can_meet_its_due_time_starts_before_a_late_one)
{
    one.settings.event_timeout = 10s;
    one.targets.remove("t1");
    one.add_target("t1", server, 1);
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    BOOST_REQUIRE(one.accept("first", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));

    auto late = batch_process::make_terms("late");
    late.due_after = 1ms;
    const auto result = one.submit(late, {one.make_item("b")});
    BOOST_REQUIRE(one.until([&] { return result->has_value(); }));
    BOOST_REQUIRE(one.accept("in-time", {one.make_item("c")}));
    const auto is_found_late = [&]
    {
        const auto waiting = one.runner.waiting(8);
        return waiting.size() == 2 && !waiting[0].urgency.is_late &&
               waiting[1].urgency.is_late;
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

BOOST_AUTO_TEST_CASE(item_is_dead_after_one_permanent_failure)
{
    server.make_answer = [](const std::string& it)
    {
        return scripted_answer{
            whole_answer(422, "no", answers_to(field_of(it, "Id")))};
    };
    BOOST_TEST((run().state == proto::ITEM_DEAD));
    BOOST_TEST(server.requests.size() == 1);
}

BOOST_AUTO_TEST_CASE(item_is_dead_after_the_maximum_failures_of_its_route)
{
    server.make_answer = [](const std::string& it)
    {
        return scripted_answer{
            whole_answer(500, "no", answers_to(field_of(it, "Id")))};
    };
    BOOST_TEST((run().state == proto::ITEM_DEAD));
    BOOST_TEST(server.requests.size() == 3);
}

// Guards against items that crash one target after the other, and against a
// refused item that keeps other items from starting.
BOOST_AUTO_TEST_CASE(item_with_a_refused_prompt_waits_and_others_run)
{
    bool refused = true;
    auto first = one.make_item("a");
    first.add_prompt_parts(1);
    first.add_prompt_parts(2);
    one.environment.time_refused = [&refused](const routing::prompt& prompt)
    {
        return refused && prompt.own == 2 ? std::optional(10ms) : std::nullopt;
    };
    BOOST_REQUIRE(one.accept("j", {first, one.make_item("b")}));
    BOOST_REQUIRE(one.until([&] { return read(one, "j").size() == 1; }));
    BOOST_TEST(server.requests.size() == 1U);
    refused = false;
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    for (const auto& it : read(one, "j"))
        BOOST_TEST((it.state == proto::ITEM_DONE));
}

// Guards against an item that waits for ever because its prompt is refused, and
// against giving it up earlier than its route permits.
BOOST_AUTO_TEST_CASE(item_with_a_refused_prompt_ends_when_its_route_permits)
{
    auto refused = one.make_item("a");
    refused.add_prompt_parts(1);
    one.environment.time_refused = [](const routing::prompt&)
    {
        return std::optional(10ms);
    };
    const auto start = common::clock::now();
    one.add_route(3, 600ms);
    BOOST_REQUIRE(one.accept("j", {refused}));
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    BOOST_TEST((read(one, "j").front().state == proto::ITEM_DEAD));
    BOOST_TEST((common::clock::now() - start >= 600ms));
    BOOST_TEST(server.requests.empty());
}

// Guards against an item that fails for good because of faults of its targets:
// refusals, timeouts, malformed answers and closed connections.
BOOST_AUTO_TEST_CASE(transient_failures_do_not_count_towards_the_maximum)
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

// Guards against a text in which events are missing or repeated.
BOOST_AUTO_TEST_CASE(broken_run_resumes_after_its_last_complete_event)
{
    server.add(chunked_head(200, answers_to("a")) + chunk(event(1, "e1")) +
                   chunk("id: 2\nda"),
               true);
    const auto it = run();
    BOOST_TEST(it.text.text() == "e1\ne2\ne3");
    BOOST_REQUIRE(server.requests.size() == 2);
    BOOST_TEST(field_of(server.requests[1], "After") == "1");
}

BOOST_AUTO_TEST_CASE(preempted_item_resumes_after_its_last_event)
{
    server.add(open_events("x\r\nId: a\r\n", 2).bytes);
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    run_for(context, 20ms);
    BOOST_TEST(one.runner.preempt_one(*one.targets.find("t1")));
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    BOOST_TEST(read(one, "j").front().text.text() == "e1\ne2\ne3");
    BOOST_TEST(one.runner.counts().preempted == 1);
}

// Preemption delays the item that has the most time left until it is due.
BOOST_AUTO_TEST_CASE(item_with_the_latest_due_time_is_preempted_first)
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
    BOOST_TEST(one.runner.preempt_one(*one.targets.find("t1")));
    BOOST_TEST(one.runner.running_items("later") == 0);
    BOOST_TEST(one.runner.running_items("sooner") == 1);
}

// Guards against an item that stays on a target which has stopped answering.
BOOST_AUTO_TEST_CASE(item_resumes_on_another_target_when_its_target_is_silent)
{
    auto& silent = add_server();
    silent.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    one.targets.remove("t1");
    one.add_target("t0", silent);
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return silent.requests.size() == 1; }));
    one.add_target("t1", server);
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    BOOST_TEST(read(one, "j").front().text.text() == "e1\ne2\ne3");
    BOOST_TEST(silent.requests.size() == 1);
    BOOST_TEST(field_of(server.requests.back(), "After") == "1");
}

BOOST_AUTO_TEST_CASE(cancelling_a_job_stops_its_items)
{
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    BOOST_TEST(one.accept("j", {one.make_item("a"), one.make_item("b")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 2; }));
    bool cancelled = false;
    one.results.cancel("j", [&](std::error_code ec) { cancelled = !ec; });
    BOOST_TEST(one.until(
        [&] { return cancelled && one.runner.counts().running == 0; }));
    BOOST_TEST(one.until([&] { return server.closed == 2; }));
    BOOST_TEST(one.runner.counts().pending == 0);
    BOOST_TEST(server.requests.size() == 2);
}

// Guards against results that are lost in an outage of the store.
BOOST_AUTO_TEST_CASE(result_is_recorded_after_refused_appends)
{
    unsigned refusals = 0;

    // A job without items is not accepted.
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

BOOST_AUTO_TEST_CASE(result_is_listed_once_after_late_and_lost_appends)
{
    unsigned n = 0;
    server.make_answer = [&](const std::string& it)
    {
        store.append_outcome = [&]
        {
            constexpr std::array faults{
                call_outcome::late, call_outcome::answer_lost,
                call_outcome::request_lost, call_outcome::late};
            return n < 12 ? faults[n++ % faults.size()] : call_outcome::done;
        };
        return make_events(3)(it);
    };
    run();
    store.run_late();
    run_for(context, 30ms);
    BOOST_TEST(one.job("j-a")->results.size() == 1);
    BOOST_TEST(read(one, "j-a").front().text.text() == "e1\ne2\ne3");
}

BOOST_AUTO_TEST_CASE(paused_runner_stops_its_items_and_resumes_them)
{
    server.add(open_events("x\r\nId: a\r\n", 2).bytes);
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    run_for(context, 20ms);
    one.runner.set_paused(true);
    BOOST_TEST(one.runner.counts().running == 0);
    run_for(context, 30ms);
    BOOST_TEST(server.requests.size() == 1);
    one.runner.set_paused(false);
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
    BOOST_TEST(read(one, "j").front().text.text() == "e1\ne2\ne3");
}

BOOST_AUTO_TEST_CASE(items_of_a_removed_route_are_dead)
{
    one.remove_routes(2);
    BOOST_TEST((run().state == proto::ITEM_DEAD));
    BOOST_TEST(server.requests.empty());
}

// Guards against items of an accepted job that are given up by a process which
// has read the log of jobs, but not yet the configuration: to it, no route was
// removed.
BOOST_AUTO_TEST_CASE(items_wait_while_no_configuration_is_known)
{
    const auto configuration = std::exchange(one.configuration, nullptr);
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    one.run_past_missing_route_timeout();
    BOOST_TEST(one.job("j")->results.empty());
    BOOST_TEST(server.requests.empty());
    one.configuration = configuration;
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
    BOOST_TEST((read(one, "j").front().state == proto::ITEM_DONE));
}

// Guards against items that are given up by a process whose configuration is
// older than the one under which another process accepted their job.
BOOST_AUTO_TEST_CASE(items_wait_for_the_configuration_of_their_job)
{
    one.until([&] { return one.jobs.is_current(); });
    one.remove_routes(4);
    auto terms = one.make_terms("j");
    terms.configuration_version = 5;
    const auto result = one.submit(terms, {one.make_item("a")});
    BOOST_REQUIRE(one.until([&] { return result->has_value(); }));
    one.run_past_missing_route_timeout();
    BOOST_TEST(one.job("j")->results.empty());
    one.add_route(3, {}, 5);
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
    BOOST_TEST((read(one, "j").front().state == proto::ITEM_DONE));
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

/// A process with items of the service "x", which has no target, besides those
/// of the service "s".
struct with_service_without_targets : with_target
{
    /// Returns `count` items of a service, with bodies of `body_bytes`.
    static std::vector<proto::JobItem>
    make_items(const std::string& service, int count, std::size_t body_bytes)
    {
        std::vector<proto::JobItem> items;
        for (int n = 0; n < count; ++n)
        {
            items.push_back(
                batch_process::make_item(service + std::to_string(n)));
            items.back().set_service(service);
            items.back().set_body(std::string(body_bytes, 'x'));
        }
        return items;
    }

    std::size_t pending_items() const
    {
        return one.runner.counts().pending;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_runner_services, with_service_without_targets)

// Guards against loaded items of a service without targets that keep the items
// of a job of another service from being loaded. The second job is too large to
// be kept in memory when it is accepted.
BOOST_AUTO_TEST_CASE(items_without_targets_do_not_keep_others_from_loading)
{
    for (const auto* job : {"x1", "x2", "x3"})
        BOOST_REQUIRE(one.accept(job, make_items("x", 200, 10), 1h));
    BOOST_REQUIRE(one.until([&] { return pending_items() == 600; }));
    BOOST_REQUIRE(one.accept("j", make_items("s", 24, 15000), 2h));
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
    BOOST_TEST(pending_items() == 600U);
}

// The same, if the waiting items use up the memory for loaded items.
BOOST_AUTO_TEST_CASE(
    large_items_without_targets_do_not_keep_others_from_loading)
{
    for (const auto* job : {"x1", "x2", "x3"})
        BOOST_REQUIRE(one.accept(job, make_items("x", 100, 60000), 1h));
    BOOST_REQUIRE(one.until([&] { return pending_items() >= 130; }));
    BOOST_REQUIRE(one.accept("j", make_items("s", 24, 15000), 2h));
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
    BOOST_TEST(pending_items() < 300U);
}

// Guards against items that are never examined because those of a service
// without targets come before them.
BOOST_AUTO_TEST_CASE(items_without_targets_do_not_keep_others_from_starting)
{
    for (const auto* job : {"x1", "x2"})
        BOOST_REQUIRE(one.accept(job, make_items("x", 200, 10), 1h));
    BOOST_REQUIRE(one.accept("j", make_items("s", 3, 10), 2h));
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
}

// Guards against a job whose first items wait for a service without targets and
// keep its other items from being loaded.
BOOST_AUTO_TEST_CASE(items_without_targets_do_not_hold_up_their_own_job)
{
    auto items = make_items("x", 600, 300);
    const auto others = make_items("s", 3, 15000);
    items.insert(items.end(), others.begin(), others.end());
    BOOST_REQUIRE(one.accept("j", items, 1h));
    BOOST_TEST(one.until([&] { return one.job("j")->results.size() == 3; }));
}

// Guards against entries that take the slots which more urgent items of this
// one need, because only items of another service were announced to them.
BOOST_AUTO_TEST_CASE(waiting_items_of_each_service_are_announced)
{
    auto& busy = add_server();
    one.targets.remove("t1");
    one.targets.add("t1", make_announcement(server.address(), "s", 1));
    one.targets.add("t2", make_announcement(busy.address(), "y", 1));
    one.target_ids.push_back("t2");
    one.peer_items_ahead = 1000;
    for (int n = 0; n < 10; ++n)
        BOOST_REQUIRE(
            one.accept("y" + std::to_string(n), make_items("y", 1, 10), 1h));
    BOOST_REQUIRE(one.accept("j", make_items("s", 2, 10), 2h));
    const auto groups = one.runner.waiting(8);
    BOOST_TEST(groups.size() <= 8U);
    BOOST_TEST(
        std::ranges::count(groups, "s", &routing::waiting_items::service) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

struct two_processes : with_target
{
    two_processes()
    {
        two.settings.event_timeout = 100ms;
        two.add_target("t1", server);
        two.until([this] { return two.jobs.is_current(); });
    }

    /// Appends the record that reassigns a job.
    void reassign(const std::string& job, const std::string& from,
                  const std::string& to)
    {
        proto::JobRecord record;
        auto& reassignment = *record.mutable_taken();
        reassignment.set_job(job);
        reassignment.set_from(from);
        reassignment.set_member(to);
        append(record);
    }

    batch_process two{*this, "m2"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_two_runners, two_processes)

BOOST_AUTO_TEST_CASE(reassigned_job_is_run_by_its_new_runner)
{
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    server.make_answer = make_events(3);
    reassign("j", "m1", "m2");
    BOOST_TEST(two.until([&] { return two.finished("j"); }));
    BOOST_TEST(one.runner.counts().running == 0);
    BOOST_TEST(two.runner.counts().done == 1);
    BOOST_TEST(read(two, "j").front().text.text() == "e1\ne2\ne3");
}

// Guards against two results of an item that the old and the new runner of its
// job finish. The first result in the log takes effect at all processes.
BOOST_AUTO_TEST_CASE(item_run_by_two_processes_has_one_result)
{
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    reassign("j", "m1", "m2");
    BOOST_TEST(
        two.until([&] { return two.finished("j") && one.finished("j"); }));
    run_for(context, 30ms);
    BOOST_TEST(one.job("j")->results == two.job("j")->results);
    BOOST_TEST(one.job("j")->results.size() == 1);
}

BOOST_AUTO_TEST_CASE(planned_stop_hands_over_the_progress_of_running_items)
{
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 2);
    };
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    run_for(context, 20ms);
    bool handed_over = false;
    one.runner.hand_over([&handed_over] { handed_over = true; });
    BOOST_REQUIRE(one.until([&] { return handed_over; }));
    server.make_answer = make_events(3);
    reassign("j", "m1", "m2");
    BOOST_TEST(two.until([&] { return two.finished("j"); }));
    BOOST_TEST(field_of(server.requests.back(), "After") == "2");
    BOOST_TEST(read(two, "j").front().text.text() == "e1\ne2\ne3");
}

// Guards against items that start from the beginning when their process is lost
// without warning, for example in a power failure of all hosts.
BOOST_AUTO_TEST_CASE(item_of_a_lost_process_resumes_from_recorded_progress)
{
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 2);
    };
    one.settings.event_timeout = 10s;
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(two.until([&] { return has_progress(two); }));
    server.make_answer = make_events(3);
    reassign("j", "m1", "m2");
    BOOST_TEST(two.until([&] { return two.finished("j"); }));
    BOOST_TEST(field_of(server.requests.back(), "After") == "2");
    BOOST_TEST(read(two, "j").front().text.text() == "e1\ne2\ne3");
}

// Guards against recorded progress whose text and last event don't match,
// because more events arrive while the text is being appended.
BOOST_AUTO_TEST_CASE(text_and_last_event_of_recorded_progress_match)
{
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    one.settings.event_timeout = 10s;
    BOOST_TEST(one.accept("j", {one.make_item("a", 60)}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    for (unsigned n = 2; n < 40; ++n)
    {
        server.send_all(chunk(event(n, "e" + std::to_string(n))));
        run_for(context, 1ms);
    }
    BOOST_REQUIRE(two.until([&] { return has_progress(two); }));
    server.make_answer = make_events(50);
    reassign("j", "m1", "m2");
    BOOST_REQUIRE(two.until([&] { return two.finished("j"); }));
    std::string expected_text = "e1";
    for (unsigned n = 2; n <= 50; ++n)
        expected_text += "\ne" + std::to_string(n);
    BOOST_TEST(read(two, "j").front().text.text() == expected_text);
}

// Guards against a planned stop that hands over nothing because the texts are
// too large for one append.
BOOST_AUTO_TEST_CASE(planned_stop_hands_over_progress_larger_than_one_append)
{
    constexpr int item_count = 12;
    const std::string text(200UL * 1024, 'x');
    one.add_target("t2", server);
    one.settings.progress.interval = 0ms;
    one.settings.event_timeout = 10s;
    server.make_answer = [&text](const std::string& it)
    {
        return scripted_answer{
            chunked_head(200, answers_to(field_of(it, "Id"))) +
            chunk(event(1, text))};
    };
    std::vector<proto::JobItem> items;
    for (int n = 0; n < item_count; ++n)
        items.push_back(one.make_item("i" + std::to_string(n)));
    BOOST_REQUIRE(one.accept("j", items));
    BOOST_REQUIRE(one.until(
        [&]
        {
            run_for(context, 5ms);
            return server.requests.size() == item_count;
        }));
    run_for(context, 50ms);
    bool handed_over = false;
    one.runner.hand_over([&handed_over] { handed_over = true; });
    BOOST_REQUIRE(one.until([&] { return handed_over; }));
    BOOST_REQUIRE(two.until([&] { return has_progress(two); }));
    BOOST_TEST(one.job("j")->progress.size() == item_count);
}

// Guards against a second run of an item that must run at most once, after its
// job was reassigned from the process that may have run it.
BOOST_AUTO_TEST_CASE(
    non_repeatable_item_is_not_run_again_after_its_job_is_reassigned)
{
    auto item = one.make_item("a");
    item.set_not_repeatable(true);
    server.make_answer = [](const std::string& it)
    {
        return open_events(it, 1);
    };
    BOOST_TEST(one.accept("j", {item}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    reassign("j", "m1", "m2");
    BOOST_TEST(two.until([&] { return two.finished("j"); }));
    BOOST_TEST((read(two, "j").front().state == proto::ITEM_UNKNOWN));
    BOOST_TEST(server.requests.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(batch_runner_non_repeatable, with_target)

BOOST_AUTO_TEST_CASE(non_repeatable_item_runs_once)
{
    auto item = one.make_item("a");
    item.set_not_repeatable(true);
    BOOST_TEST(one.accept("j", {item}));
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
    BOOST_TEST((read(one, "j").front().state == proto::ITEM_DONE));
    BOOST_TEST(server.requests.size() == 1);
}

BOOST_AUTO_TEST_CASE(
    non_repeatable_item_is_not_resent_after_the_connection_breaks)
{
    auto item = one.make_item("a");
    item.set_not_repeatable(true);
    server.add("", true);
    BOOST_TEST(one.accept("j", {item}));
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
    BOOST_TEST((read(one, "j").front().state == proto::ITEM_UNKNOWN));
    BOOST_TEST(server.requests.size() == 1);
}

BOOST_AUTO_TEST_CASE(non_repeatable_item_is_neither_preempted_nor_paused)
{
    auto item = one.make_item("a");
    item.set_not_repeatable(true);
    server.add(open_events("x\r\nId: a\r\n", 1).bytes);
    BOOST_TEST(one.accept("j", {item}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    BOOST_TEST(!one.runner.preempt_one(*one.targets.find("t1")));
    one.runner.set_paused(true);
    BOOST_TEST(one.runner.counts().running == 1);
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

struct with_two_slots : fixture
{
    with_two_slots()
    {
        one.add_target("t1", server, 2);
        server.make_answer = [](const std::string& it)
        {
            return open_events(it, 1);
        };
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_runner_full_target, with_two_slots)

// Guards against batch items that take slots which online requests use.
BOOST_AUTO_TEST_CASE(running_items_are_limited_to_the_free_slots)
{
    one.targets.find("t1")->load.peer_online = 1;
    BOOST_TEST(one.accept("j", {one.make_item("a"), one.make_item("b")}));
    BOOST_REQUIRE(one.until([&] { return server.requests.size() == 1; }));
    run_for(context, 30ms);
    BOOST_TEST(one.runner.counts().running == 1);
    BOOST_TEST(one.runner.counts().pending == 1);
}

BOOST_AUTO_TEST_CASE(items_are_preempted_when_online_work_fills_the_target)
{
    BOOST_TEST(one.accept("j", {one.make_item("a"), one.make_item("b")}));
    BOOST_REQUIRE(one.until([&] { return one.runner.counts().running == 2; }));
    one.targets.find("t1")->load.peer_online = 1;
    one.runner.preempt_excess();
    BOOST_TEST(one.runner.counts().running == 1);
    one.targets.find("t1")->load.peer_online = 2;
    one.runner.preempt_excess();
    BOOST_TEST(one.runner.counts().running == 0);
}

BOOST_AUTO_TEST_SUITE_END()
