#include "common/periodic_timer.hpp"
#include "online/request.hpp"
#include "support/event_loop.hpp"
#include "support/scripted_server.hpp"
#include "support/test_protocol.hpp"

#include <boost/test/unit_test.hpp>

#include <list>
#include <optional>
#include <string>
#include <vector>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;
using common::execution;
using common::result_code;

namespace
{

/// Response that a caller received.
struct received_answer
{
    std::optional<http::rejection> refused;
    unsigned status = 0;
    std::string body;
    bool complete = false;
    bool aborted = false;

    bool ended() const
    {
        return refused || complete || aborted;
    }
};

/// Environment of online requests, with targets simulated by scripted servers.
/// Targets are chosen in the order in which they were added: their loads are
/// equal, and the random function, which breaks ties, always returns 0.
struct fixture
{
    fixture()
    {
        route.name = "r";
        route.host = "h";
        route.path_prefix = "/";
        route.services = {{"s", 1}};
        route.repeats = fleet::repetition::repeatable;
        route.max_attempts = 2;
        route.timeout = 5s;
        route.objective = 100ms;
    }

    ~fixture()
    {
        for (const auto& it : target_ids)
            set.remove(it);
        for (auto& it : servers)
            it.stop();
        run_ready(context);
    }

    scripted_server& add_target(const std::string& id, std::uint32_t slots = 2)
    {
        auto& server = servers.emplace_back(context);
        target_ids.push_back(id);
        set.add(id, make_announcement(server.address(), "s", slots));
        return server;
    }

    online::answer_hooks hooks_for(received_answer& result)
    {
        online::answer_hooks hooks;
        hooks.refuse = [&result](const http::rejection& it)
        {
            BOOST_TEST(!result.ended());
            result.refused = it;
        };
        hooks.respond =
            [&result](const http::answer_head& head, std::string body)
        {
            BOOST_TEST(!result.ended());
            result.status = head.status;
            result.body = std::move(body);
            result.complete = true;
        };
        hooks.start = [&result](const http::answer_head& head)
        {
            BOOST_TEST(result.status == 0);
            result.status = head.status;
        };
        hooks.write = [&result](const std::string& piece, const auto& written)
        {
            result.body += piece;
            written({});
        };
        hooks.finish = [&result]
        {
            BOOST_TEST(!result.ended());
            result.complete = true;
        };
        hooks.abort = [&result]
        {
            BOOST_TEST(!result.ended());
            result.aborted = true;
        };
        return hooks;
    }

    online::request_ptr start(received_answer& result,
                              const std::string& id = "a",
                              std::chrono::milliseconds time_to_deadline = 10s)
    {
        online::call call;
        call.id = id;
        call.method = "POST";
        call.target = "/x";
        call.host = "h";
        call.body = body;
        call.configuration = std::make_shared<fleet::configuration>(
            1, std::vector{route}, std::vector<fleet::service>(),
            fleet::request_limits());
        call.route = &call.configuration->routes().front();
        call.repeats = route.repeats;
        call.after_event = after_event;
        call.received = common::clock::now();
        call.deadline = call.received + time_to_deadline;
        online::request_ptr it(new online::request(environment, std::move(call),
                                                   hooks_for(result)));
        it->start();
        return it;
    }

    received_answer run(const std::string& id = "a",
                        std::chrono::milliseconds time_to_deadline = 10s)
    {
        received_answer result;
        start(result, id, time_to_deadline);
        BOOST_REQUIRE(run_until(context, [&] { return result.ended(); }));
        return result;
    }

    /// Refuses prompts from the `n`th send on.
    void refuse_prompts_from_send(unsigned n)
    {
        environment.time_refused = [n, sends = 0U](const auto&) mutable
        {
            return ++sends >= n ? std::optional(1500ms) : std::nullopt;
        };
    }

    void make_stream()
    {
        route.kind = fleet::route_kind::stream;
        route.repeats = fleet::repetition::resumable;
        route.gap_objective = 100ms;
    }

    /// Runs a stream whose target sends one event and then `piece` now and
    /// then, and checks that another target continues it.
    void check_trickling_stream_is_moved(const std::string& piece)
    {
        make_stream();
        const auto head = answers_to("a");
        auto& first = add_target("t1");
        first.add(chunked_head(200, head) + chunk(event(1, "a")));
        add_target("t2").add(chunked_head(200, head) + chunk(event(2, "b")) +
                             chunk(""));
        received_answer result;
        start(result);
        BOOST_REQUIRE(run_until(context, [&] { return !result.body.empty(); }));
        common::periodic_timer trickle(context, 10ms,
                                       [&]
                                       {
                                           if (first.closed == 0)
                                               first.send_all(chunk(piece));
                                       });
        trickle.start();
        BOOST_REQUIRE(run_until(context, [&] { return result.ended(); }));
        BOOST_TEST(result.complete);
        BOOST_TEST(first.closed == 1);
        set.remove("t1");
        set.remove("t2");
    }

    boost::asio::io_context context;
    std::vector<std::string> target_ids;
    std::string body = "body";
    std::list<scripted_server> servers;
    targets::target_protocol protocol = make_test_protocol();
    targets::target_set set{context, {"d", "", {}}, {}};
    const routing::random_below always_zero = [](std::size_t)
    {
        return 0;
    };
    routing::placement placement{routing::placement_settings(), always_zero};
    online::online_settings settings;
    std::vector<std::string> preemption_requests;
    online::environment environment{context,
                                    settings,
                                    protocol,
                                    set,
                                    placement,
                                    always_zero,
                                    [this](targets::target& it)
                                    {
                                        preemption_requests.push_back(it.id());
                                    }};
    fleet::route route;

    /// Last event that the caller of the next requests has received.
    std::optional<std::uint64_t> after_event;
};

const std::string head = answers_to("a");

} // namespace

BOOST_FIXTURE_TEST_SUITE(online_request, fixture)

BOOST_AUTO_TEST_CASE(complete_answer_reaches_the_caller_unchanged)
{
    add_target("t1").add(whole_answer(201, "hello", head));
    const auto result = run();
    BOOST_TEST(result.complete);
    BOOST_TEST(result.status == 201);
    BOOST_TEST(result.body == "hello");
}

// Guards against relaying a cut answer as if it were complete, and against
// failing a repeatable request that another target can answer. The first target
// closes the connection within the body.
BOOST_AUTO_TEST_CASE(cut_answer_is_retried_on_another_target)
{
    auto& first = add_target("t1");
    first.add("HTTP/1.1 200 X\r\n" + head + "Content-Length: 9\r\n\r\nhel",
              true);
    add_target("t2").add(whole_answer(200, "hello", head));
    const auto result = run();
    BOOST_TEST(result.complete);
    BOOST_TEST(result.body == "hello");
}

// Guards against a request that would crash its target, and against a refusal
// that does not say the truth or when to come back.
BOOST_AUTO_TEST_CASE(refused_prompt_is_not_sent)
{
    auto& server = add_target("t1");
    refuse_prompts_from_send(1);
    const auto it = run();
    BOOST_REQUIRE(it.refused.has_value());
    BOOST_TEST((it.refused->code == result_code::prompt_quarantined));
    BOOST_TEST((it.refused->ran == execution::not_run));
    BOOST_TEST((it.refused->retry_after == 1500ms));
    BOOST_TEST(server.requests.empty());
}

// Guards against a retry that crashes the next target, and against a refusal as
// not run of a request that has run.
BOOST_AUTO_TEST_CASE(request_whose_prompt_is_refused_meanwhile_is_not_retried)
{
    add_target("t1").add("", true);
    auto& second = add_target("t2");
    refuse_prompts_from_send(2);
    const auto it = run();
    BOOST_REQUIRE(it.refused.has_value());
    BOOST_TEST((it.refused->code == result_code::target_failed));
    BOOST_TEST((it.refused->ran == execution::may_have_run));
    BOOST_TEST(second.requests.empty());
}

BOOST_AUTO_TEST_CASE(request_runs_on_at_most_max_attempts_targets)
{
    std::vector<scripted_server*> all;
    for (const auto* id : {"t1", "t2", "t3"})
    {
        all.push_back(&add_target(id));
        all.back()->add("", true);
    }
    const auto result = run();
    BOOST_REQUIRE(result.refused.has_value());
    BOOST_TEST(result.refused->code == result_code::target_failed);
    BOOST_TEST((result.refused->ran == execution::may_have_run));
    BOOST_TEST(all[0]->requests.size() == 1);
    BOOST_TEST(all[1]->requests.size() == 1);
    BOOST_TEST(all[2]->requests.empty());
}

// `max_attempts` limits the targets that may have run the request. A target
// that refuses a request has not run it, so that another one is tried.
BOOST_AUTO_TEST_CASE(refused_send_does_not_count_towards_max_attempts)
{
    route.max_attempts = 1;
    add_target("t1").add(whole_answer(503, "full", head + "Not-Run: 1\r\n"));
    add_target("t2").add(whole_answer(200, "hello", head));
    BOOST_TEST(run().body == "hello");
}

BOOST_AUTO_TEST_CASE(server_error_is_relayed_after_the_last_attempt)
{
    add_target("t1").add(whole_answer(500, "broken", head));
    add_target("t2").add(whole_answer(500, "broken too", head));
    const auto result = run();
    BOOST_TEST(result.status == 500);
    BOOST_TEST(result.body == "broken too");
}

// Guards against running a request twice that may run only once. The first
// target closes the connection after it received the request, so that it may
// have run it.
BOOST_AUTO_TEST_CASE(non_repeatable_request_is_not_retried_when_it_may_have_run)
{
    route.repeats = fleet::repetition::once;
    add_target("t1").add("", true);
    auto& second = add_target("t2");
    const auto result = run();
    BOOST_REQUIRE(result.refused.has_value());
    BOOST_TEST((result.refused->ran == execution::may_have_run));
    BOOST_TEST(common::info(result.refused->code).http_status == 502);
    BOOST_TEST(second.requests.empty());
}

BOOST_AUTO_TEST_CASE(server_error_of_a_non_repeatable_request_is_relayed)
{
    route.repeats = fleet::repetition::once;
    add_target("t1").add(whole_answer(500, "broken", head));
    auto& second = add_target("t2");
    BOOST_TEST(run().body == "broken");
    BOOST_TEST(second.requests.empty());
}

BOOST_AUTO_TEST_CASE(
    non_repeatable_request_is_retried_after_a_target_refuses_it)
{
    route.repeats = fleet::repetition::once;
    add_target("t1").add(whole_answer(503, "full", head + "Not-Run: 1\r\n"));
    add_target("t2").add(whole_answer(200, "hello", head));
    BOOST_TEST(run().body == "hello");
}

// Guards against a 503, which says that the request did not run, while its
// target may still be running it: a caller that retries would run it twice.
BOOST_AUTO_TEST_CASE(timed_out_request_is_reported_as_may_have_run)
{
    route.repeats = fleet::repetition::once;
    route.timeout = 60ms;
    add_target("t1");
    const auto result = run();
    BOOST_REQUIRE(result.refused.has_value());
    BOOST_TEST(result.refused->code == result_code::deadline_exceeded);
    BOOST_TEST((result.refused->ran == execution::may_have_run));
}

BOOST_AUTO_TEST_CASE(request_is_refused_when_the_deadline_of_the_caller_expires)
{
    add_target("t1");
    const auto begin = common::clock::now();
    const auto result = run("a", 60ms);
    BOOST_TEST(result.refused.has_value());
    BOOST_TEST((common::clock::now() - begin < 2s));
}

BOOST_AUTO_TEST_CASE(request_is_refused_as_not_run_when_there_is_no_target)
{
    const auto result = run();
    BOOST_REQUIRE(result.refused.has_value());
    BOOST_TEST(result.refused->code == result_code::no_target);
    BOOST_TEST((result.refused->ran == execution::not_run));
    BOOST_TEST((result.refused->retry_after >= settings.retry_after));
}

BOOST_AUTO_TEST_CASE(another_target_is_tried_when_the_connection_is_refused)
{
    add_target("t1").stop();
    add_target("t2").add(whole_answer(200, "hello", head));
    BOOST_TEST(run().body == "hello");
}

// Guards against a growing queue. When all slots are occupied, callers give up
// before they are served, and waiting requests only delay all the others.
BOOST_AUTO_TEST_CASE(request_is_refused_when_the_estimated_wait_is_too_long)
{
    auto& server = add_target("t1", 1);
    std::list<received_answer> others(2);
    std::vector<online::request_ptr> in_progress;
    unsigned n = 0;
    for (auto& it : others)
        in_progress.push_back(start(it, "o" + std::to_string(n++)));
    BOOST_REQUIRE(
        run_until(context, [&] { return server.requests.size() == 1; }));
    const auto result = run();
    BOOST_REQUIRE(result.refused.has_value());
    BOOST_TEST(result.refused->code == result_code::overloaded);
    BOOST_TEST((result.refused->ran == execution::not_run));
    for (const auto& it : in_progress)
        it->abandon();
}

// Guards against a request above its team's share that is sent, or whose
// admission is kept though it has not run.
BOOST_AUTO_TEST_CASE(request_above_the_fair_share_is_refused_and_given_back)
{
    auto& server = add_target("t1");
    unsigned given_back = 0;
    environment.callers.give_back = [&](const online::call&)
    {
        ++given_back;
    };
    environment.callers.share = [](const online::call&, auto)
    {
        return online::wait_decision{.is_refused = true};
    };
    const auto result = run();
    BOOST_REQUIRE(result.refused.has_value());
    BOOST_TEST(result.refused->code == result_code::overloaded);
    BOOST_TEST((result.refused->ran == execution::not_run));
    BOOST_TEST(given_back == 1U);
    BOOST_TEST(server.requests.empty());
}

// Guards against an online request that waits behind a batch item although
// batch items can be preempted.
BOOST_AUTO_TEST_CASE(preemption_is_requested_when_the_target_has_no_free_slot)
{
    add_target("t1", 1).add(whole_answer(200, "hello", head));
    set.find("t1")->add_request(routing::work_class::batch);
    const auto result = run();
    BOOST_TEST(result.body == "hello");
    BOOST_TEST((preemption_requests == std::vector<std::string>{"t1"}));
    set.find("t1")->remove_request(routing::work_class::batch);
}

// Guards against targets that keep working for callers that have disconnected.
BOOST_AUTO_TEST_CASE(target_connection_is_closed_when_the_caller_disconnects)
{
    auto& server = add_target("t1");
    received_answer result;
    const auto it = start(result);
    BOOST_REQUIRE(
        run_until(context, [&] { return server.requests.size() == 1; }));
    it->abandon();
    BOOST_TEST(run_until(context, [&] { return server.closed == 1; }));
    BOOST_TEST(!result.ended());
    BOOST_TEST(set.find("t1")->load.own_online == 0);
}

BOOST_AUTO_TEST_CASE(stream_is_relayed_event_by_event)
{
    make_stream();
    auto& server = add_target("t1");
    server.add(chunked_head(200, head) + chunk(event(1, "a")));
    received_answer result;
    start(result);
    BOOST_REQUIRE(run_until(context, [&] { return !result.body.empty(); }));
    BOOST_TEST(!result.ended());
    server.send_all(chunk(event(2, "b")) + chunk(""));
    BOOST_REQUIRE(run_until(context, [&] { return result.ended(); }));
    BOOST_TEST(result.complete);
    BOOST_TEST(result.body == event(1, "a") + event(2, "b"));
}

// Guards against missing or repeated events after a stream was moved to another
// target. The first target closes the connection within the second event.
BOOST_AUTO_TEST_CASE(cut_stream_is_resumed_after_its_last_complete_event)
{
    make_stream();
    auto& first = add_target("t1");
    first.add(chunked_head(200, head) + chunk(event(1, "a")) +
                  chunk("id: 2\nda"),
              true);
    auto& second = add_target("t2");
    second.add(chunked_head(200, head) + chunk(event(2, "b")) + chunk(""));
    const auto result = run();
    BOOST_TEST(result.complete);
    BOOST_TEST(result.body == event(1, "a") + event(2, "b"));
    BOOST_REQUIRE(second.requests.size() == 1);
    BOOST_TEST(field_of(second.requests[0], "After") == "1");
}

// Guards against a stream that is cut short and looks complete: the answer of
// the target that was to continue it is no such stream, and its body was
// relayed as the rest.
BOOST_AUTO_TEST_CASE(stream_is_not_continued_with_an_answer_of_another_kind)
{
    make_stream();
    const std::string answers[] = {
        whole_answer(500, "broken", head), whole_answer(404, "nothing", head),
        whole_answer(204, "", head),
        whole_answer(200, "{}", head + "Content-Type: application/json\r\n"),
        chunked_head(500, head) + chunk(event(2, "error"))};
    for (const auto& it : answers)
    {
        BOOST_TEST_CONTEXT("second answer " << it)
        {
            add_target("t1").add(chunked_head(200, head) + chunk(event(1, "a")),
                                 true);
            add_target("t2").add(it);
            const auto result = run();
            BOOST_TEST(result.aborted);
            BOOST_TEST(result.body == event(1, "a"));
            set.remove("t1");
            set.remove("t2");
        }
    }
}

// Guards against a stream that is given up because one of the targets that
// could continue it answers with an error.
BOOST_AUTO_TEST_CASE(stream_is_continued_by_the_target_after_one_with_an_error)
{
    make_stream();
    route.max_attempts = 3;
    add_target("t1").add(chunked_head(200, head) + chunk(event(1, "a")), true);
    add_target("t2").add(whole_answer(500, "broken", head));
    auto& third = add_target("t3");
    third.add(chunked_head(200, head) + chunk(event(2, "b")) + chunk(""));
    const auto result = run();
    BOOST_TEST(result.complete);
    BOOST_TEST(result.body == event(1, "a") + event(2, "b"));
    BOOST_REQUIRE(third.requests.size() == 1);
    BOOST_TEST(field_of(third.requests[0], "After") == "1");
}

// Guards against the body of an error answer that is followed by the events of
// another target. The caller resumes a stream itself; the first target's error
// answer is cut.
BOOST_AUTO_TEST_CASE(cut_error_answer_of_a_stream_is_not_continued)
{
    make_stream();
    after_event = 4;
    add_target("t1").add(chunked_head(404, head) + chunk("nothing"), true);
    auto& second = add_target("t2");
    second.add(chunked_head(200, head) + chunk(event(5, "b")) + chunk(""));
    const auto result = run();
    BOOST_TEST(result.aborted);
    BOOST_TEST(result.status == 404U);
    BOOST_TEST(second.requests.empty());
}

// Guards against watching the pauses only from the second event on: a stream
// whose target fell silent after one event was then resumed only at its
// deadline.
BOOST_AUTO_TEST_CASE(silent_stream_is_resumed_on_another_target_in_time)
{
    make_stream();
    auto& first = add_target("t1");
    first.add(chunked_head(200, head) + chunk(event(1, "a")));
    add_target("t2").add(chunked_head(200, head) + chunk(event(2, "b")) +
                         chunk(""));
    const auto begin = common::clock::now();
    const auto result = run();
    BOOST_TEST(result.complete);
    BOOST_TEST((common::clock::now() - begin < settings.first_event_timeout));
    BOOST_TEST(first.closed == 1);
}

// Guards against a stalled stream that never ends because a byte arrives now
// and then: only whole events are progress, and comments are not.
BOOST_AUTO_TEST_CASE(stream_that_trickles_without_whole_events_is_moved)
{
    for (const std::string piece : {":", "data: half", ": comment\n\n"})
    {
        BOOST_TEST_CONTEXT("piece " << piece)
        check_trickling_stream_is_moved(piece);
    }
}

// Guards against a stream that can't be moved any more because a target began
// with a comment, and that waits for this target until its deadline.
BOOST_AUTO_TEST_CASE(stream_that_begins_with_comments_is_moved)
{
    make_stream();
    settings.first_event_timeout = 50ms;
    auto& first = add_target("t1");
    first.add(chunked_head(200, head) + chunk(": comment\n\n"));
    add_target("t2").add(chunked_head(200, head) + chunk(event(1, "a")) +
                         chunk(""));
    received_answer result;
    start(result);
    common::periodic_timer comments(context, 5ms,
                                    [&]
                                    {
                                        if (first.closed == 0)
                                            first.send_all(
                                                chunk(": comment\n\n"));
                                    });
    comments.start();
    BOOST_REQUIRE(run_until(context, [&] { return result.ended(); }));
    BOOST_TEST(result.complete);
    BOOST_TEST(result.body == event(1, "a"));
    BOOST_TEST(first.closed == 1);
}

BOOST_AUTO_TEST_CASE(non_repeatable_stream_is_aborted_when_the_answer_is_cut)
{
    make_stream();
    route.repeats = fleet::repetition::once;
    add_target("t1").add(chunked_head(200, head) + chunk(event(1, "a")), true);
    auto& second = add_target("t2");
    const auto result = run();
    BOOST_TEST(result.aborted);
    BOOST_TEST(second.requests.empty());
}

// Guards against a part of an answer that reaches the caller as the whole. The
// answer has no length, and its target leaves while the request still arrives:
// its end comes before the reset.
BOOST_AUTO_TEST_CASE(answer_cut_during_the_upload_is_not_complete)
{
    body = std::string(16UL * 1024 * 1024, 'u');
    const scripted_answer part{"HTTP/1.1 200 X\r\n" + head + "\r\na part",
                               false, true};

    // Held back: another target answers, if the request may be repeated.
    auto& first = add_target("t1");
    first.add(part);
    auto& second = add_target("t2");
    second.add(whole_answer(200, "hello", head));
    const auto repeated = run();
    BOOST_TEST(repeated.complete);
    BOOST_TEST(repeated.body == "hello");

    set.remove("t2");
    first.add(part);
    route.repeats = fleet::repetition::once;
    const auto once = run();
    BOOST_REQUIRE(once.refused.has_value());
    BOOST_TEST((once.refused->ran == execution::may_have_run));

    // Relayed: the caller can tell the answer from a complete one.
    settings.held_answer_bytes = 3;
    first.add(part);
    const auto relayed = run();
    BOOST_TEST(relayed.body == "a part");
    BOOST_TEST(relayed.aborted);
}

// Guards against bytes of a target in trouble that reach the caller as an
// answer whose status is none.
BOOST_AUTO_TEST_CASE(answer_whose_status_is_none_is_not_relayed)
{
    for (const std::string status : {"000", "099", "600"})
        add_target("t" + status)
            .add("HTTP/1.1 " + status + " X\r\n" + head +
                 "Content-Length: 3\r\n\r\nbad");
    route.max_attempts = 4;
    add_target("t9").add(whole_answer(200, "hello", head));
    const auto result = run();
    BOOST_TEST(result.status == 200);
    BOOST_TEST(result.body == "hello");
}

// Guards against delivering an answer to the wrong caller.
BOOST_AUTO_TEST_CASE(answer_with_the_id_of_another_request_is_not_relayed)
{
    add_target("t1").add(whole_answer(200, "theirs", answers_to("b")));
    add_target("t2").add(whole_answer(200, "hello", head));
    BOOST_TEST(run().body == "hello");
}

BOOST_AUTO_TEST_SUITE_END()
