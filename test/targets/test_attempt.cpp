#include "support/event_loop.hpp"
#include "support/scripted_server.hpp"
#include "support/test_protocol.hpp"
#include "targets/attempt.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;
using outcome = targets::attempt_end::outcome;

namespace
{

/// A target simulated by a scripted server.
struct fixture
{
    fixture()
        : destination(new targets::target(
              context, "t", make_announcement(server.address()), hooks))
    {
    }

    ~fixture()
    {
        destination->retire();
        server.stop();
        run_ready(context);
    }

    targets::attempt_ptr start(const std::string& id, bool events = false,
                               std::optional<std::uint64_t> after = {},
                               std::chrono::milliseconds max_idle_time = 1h)
    {
        const http::header_list none;
        targets::attempt_request request;
        request.request = protocol.write(
            {id, "POST", "/x", "h", none, "body", "t", 100ms, after});
        request.request_id = id;
        request.events = events;
        request.after_event = after;
        request.max_idle_time = max_idle_time;
        request.max_events = max_events;
        request.max_unnumbered_bytes = targets::unnumbered_bytes_limit;
        end.reset();
        body.clear();
        targets::attempt_hooks hooks;
        hooks.on_piece = [this](std::string_view piece, auto number)
        {
            body += piece;
            if (number)
                numbers.push_back(*number);
        };
        hooks.on_end = [this](const targets::attempt_end& it)
        {
            BOOST_TEST(!end.has_value());
            end = it;
        };
        targets::attempt_ptr it(new targets::attempt(
            protocol, destination, std::move(request), std::move(hooks)));
        it->start();
        return it;
    }

    targets::attempt_end run(const std::string& id, bool events = false,
                             std::optional<std::uint64_t> after = {},
                             std::chrono::milliseconds max_idle_time = 1h)
    {
        const auto it = start(id, events, after, max_idle_time);
        BOOST_REQUIRE(run_until(context, [&] { return end.has_value(); }));
        return *end;
    }

    /// Results of the attempts that have ended, as passed to the hook of the
    /// process, and the number of answers that have begun.
    std::vector<targets::attempt_result> results;
    unsigned answers_begun = 0;
    std::vector<routing::target_timing> timings;
    const targets::target_hooks hooks{
        .on_attempt_end =
            [this](targets::target&, const targets::ended_attempt& it)
        { results.push_back(it.result); },
        .on_answer_begun = [this](const routing::prompt&) { ++answers_begun; },
        .on_timing =
            [this](targets::target&, const auto& it)
        {
            timings.push_back(it);
        }};
    boost::asio::io_context context;
    scripted_server server{context};
    targets::target_protocol protocol = make_test_protocol();
    targets::target_ptr destination;
    std::optional<targets::attempt_end> end;
    std::string body;
    std::vector<std::uint64_t> numbers;
    std::uint64_t max_events = 1000;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(attempt, fixture)

BOOST_AUTO_TEST_CASE(complete_answer_is_passed_on_and_the_connection_is_kept)
{
    server.add(whole_answer(200, "hello", answers_to("a")));
    const auto it = run("a");
    BOOST_TEST((it.result == outcome::complete));
    BOOST_TEST(it.status == 200);
    BOOST_TEST(body == "hello");
    BOOST_TEST(destination->load.own_online == 0);
    BOOST_TEST(destination->idle_connections() == 1);
}

BOOST_AUTO_TEST_CASE(connection_is_reused_for_consecutive_requests)
{
    for (int n = 0; n < 5; ++n)
    {
        server.add(whole_answer(200, "x", answers_to("a")));
        run("a");
    }
    BOOST_TEST(server.accepted == 1);
}

// Guards against sending a request that may run at most once on a connection
// that the target closes at that moment: it would be unknown whether the
// request ran.
BOOST_AUTO_TEST_CASE(idle_connection_is_not_reused_after_the_maximum_idle_time)
{
    server.add(whole_answer(200, "x", answers_to("a")));
    server.add(whole_answer(200, "x", answers_to("b")));
    run("a");
    run("b", false, {}, 0ms);
    BOOST_TEST(server.accepted == 2);
}

BOOST_AUTO_TEST_CASE(refused_request_ends_as_not_run)
{
    server.add(whole_answer(503, "full", answers_to("a") + "Not-Run: 1\r\n"));
    const auto it = run("a");
    BOOST_TEST((it.result == outcome::not_run));
    BOOST_TEST(body.empty());
}

// Guards against metrics and evidence that take a lost target for a target that
// broke off in the middle, or for one that refused the request.
BOOST_AUTO_TEST_CASE(result_says_how_far_the_answer_had_come)
{
    using result = targets::attempt_result;
    const std::string head =
        "HTTP/1.1 200 OK\r\n" + answers_to("a") + "Content-Length: 500\r\n\r\n";
    server.add(whole_answer(200, "id: 1\ndata: x\n\n", answers_to("a")));
    server.add(whole_answer(503, "full", answers_to("a") + "Not-Run: 1\r\n"));
    server.add("", true);
    server.add(head, true);
    server.add(head + "id: 1\nda", true);
    server.add(head + "id: 1\ndata: x\n\nid", true);
    server.add(whole_answer(200, "x", answers_to("other")));
    for (int n = 0; n < 7; ++n)
        run("a", true);
    const std::vector expected{result::complete,      result::not_run,
                               result::lost_at_start, result::lost_at_start,
                               result::lost_at_start, result::lost_midway,
                               result::invalid};
    BOOST_TEST((results == expected));
    BOOST_TEST(answers_begun == 2);
}

// Guards against evidence of a target's speed from streams that are too short,
// from answers that are not complete, and from requests that waited.
BOOST_AUTO_TEST_CASE(complete_answers_measure_the_target)
{
    const std::string two_events = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";
    std::string events;
    for (int n = 1; n <= 6; ++n)
        events += "id: " + std::to_string(n) + "\ndata: x\n\n";
    server.add(whole_answer(200, two_events, answers_to("a")));
    server.add(whole_answer(200, events, answers_to("a")));
    run("a", true);
    BOOST_TEST(timings.empty());
    run("a", true);
    BOOST_REQUIRE(timings.size() == 1);
    BOOST_TEST((timings[0].kind == routing::timing_kind::event));
    BOOST_TEST(timings[0].units == 5);
    BOOST_TEST(timings[0].running == 1);

    server.add(whole_answer(200, "x", answers_to("a")));
    server.add(whole_answer(500, "x", answers_to("a")));
    server.add("HTTP/1.1 200 OK\r\n" + answers_to("a") +
                   "Content-Length: 500\r\n\r\nx",
               true);
    for (int n = 0; n < 3; ++n)
        run("a");
    BOOST_REQUIRE(timings.size() == 2);
    BOOST_TEST((timings[1].kind == routing::timing_kind::online_call));
    BOOST_TEST(timings[1].units == 1);

    destination->load.peer_online = 100;
    server.add(whole_answer(200, "x", answers_to("a")));
    run("a");
    BOOST_TEST(timings.size() == 2);
}

// Guards against passing an answer on to the wrong caller.
BOOST_AUTO_TEST_CASE(answer_with_the_id_of_another_request_ends_as_failed)
{
    server.add(whole_answer(200, "theirs", answers_to("other")));
    const auto it = run("a");
    BOOST_TEST((it.result == outcome::failed));
    BOOST_TEST(body.empty());
    BOOST_TEST(destination->idle_connections() == 0);
}

// Guards against taking a second answer to the same request for the answer to
// the next one. It may arrive together with the first one, or later, while the
// connection is idle.
BOOST_AUTO_TEST_CASE(connection_is_closed_when_an_extra_answer_arrives)
{
    server.add(whole_answer(200, "mine", answers_to("a")) +
               whole_answer(200, "extra", answers_to("a")));
    const auto it = run("a");
    BOOST_TEST((it.result == outcome::complete));
    BOOST_TEST(body == "mine");
    BOOST_TEST(destination->idle_connections() == 0);

    server.add(whole_answer(200, "mine", answers_to("b")));
    run("b");
    BOOST_TEST(destination->idle_connections() == 1);
    server.send_all(whole_answer(200, "late", answers_to("b")));
    BOOST_TEST(run_until(context,
                         [&] { return destination->idle_connections() == 0; }));
}

BOOST_AUTO_TEST_CASE(cut_answer_ends_as_failed)
{
    auto answer = whole_answer(200, "hello", answers_to("a"));
    answer.resize(answer.size() - 2);
    server.add(answer, true);
    BOOST_TEST((run("a").result == outcome::failed));

    server.add(chunked_head(200, answers_to("b")) + chunk("half"), true);
    BOOST_TEST((run("b").result == outcome::failed));

    server.add({}, true);
    BOOST_TEST((run("c").result == outcome::failed));
}

BOOST_AUTO_TEST_CASE(answer_without_a_length_ends_with_its_connection)
{
    server.add("HTTP/1.1 200 X\r\n" + answers_to("a") + "\r\nall of it", true);
    const auto it = run("a");
    BOOST_TEST((it.result == outcome::complete));
    BOOST_TEST(body == "all of it");
}

// Guards against taking a target that crashed at the start of its answer for
// one that had nothing to send.
BOOST_AUTO_TEST_CASE(stream_without_a_length_and_without_events_ends_as_failed)
{
    const auto head = "HTTP/1.1 200 OK\r\n" + answers_to("a") + "\r\n";
    server.add(head, true);
    BOOST_TEST((run("a", true).result == outcome::failed));
    server.add(head + "id: 1\ndata: x\n\nid: 2\nda", true);
    BOOST_TEST((run("a", true).result == outcome::failed));
    server.add(head + "id: 1\ndata: x\n\n", true);
    BOOST_TEST((run("a", true).result == outcome::complete));

    // With a length, the target has said itself that there is nothing.
    server.add(whole_answer(200, "", answers_to("a")));
    BOOST_TEST((run("a", true).result == outcome::complete));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_not_http_end_as_failed)
{
    server.add("\x01\x02garbage\r\n\r\n", true);
    BOOST_TEST((run("a").result == outcome::failed));
}

BOOST_AUTO_TEST_CASE(events_split_over_chunks_are_passed_on_complete)
{
    const auto all = event(1, "one") + event(2, "two\ndata: more");
    server.add(chunked_head(200, answers_to("a")) + chunk(all.substr(0, 5)) +
               chunk(all.substr(5, 12)) + chunk(all.substr(17)) + chunk(""));
    const auto it = run("a", true);
    BOOST_TEST((it.result == outcome::complete));
    BOOST_TEST(body == all);
    BOOST_TEST((numbers == std::vector<std::uint64_t>{1, 2}));
}

// Guards against a resumed stream that contains part of an event. The target
// closes the connection within an event.
BOOST_AUTO_TEST_CASE(incomplete_event_is_not_passed_on)
{
    server.add(chunked_head(200, answers_to("a")) + chunk(event(1, "one")) +
                   chunk("id: 2\ndata: tw"),
               true);
    const auto it = run("a", true);
    BOOST_TEST((it.result == outcome::failed));
    BOOST_TEST(body == event(1, "one"));

    // The chunked coding ends correctly, but within an event.
    server.add(chunked_head(200, answers_to("b")) + chunk(event(1, "one")) +
               chunk("id: 2\ndata: tw") + chunk(""));
    BOOST_TEST((run("b", true).result == outcome::failed));
}

// Guards against a target that sends more than the request asked for, and that
// failure detection does not see as it always sends something.
BOOST_AUTO_TEST_CASE(stream_with_too_many_events_ends_as_failed)
{
    max_events = 2;
    for (int n = 0; n < 2; ++n)
    {
        server.add(chunked_head(200, answers_to("a")) + chunk(event(1, "x")) +
                   chunk(event(2, "x")) + chunk(event(3, "x")));
        BOOST_TEST(run("a", true).reason == "too_many_events");
        BOOST_TEST(body == event(1, "x") + event(2, "x"));
    }
    BOOST_TEST(destination->load.health.is_avoided(common::clock::now()));
}

// Guards against a target that keeps a stream open with events that can't be
// continued elsewhere, or with comments: they are no progress, and there is an
// end to them even if they come fast.
BOOST_AUTO_TEST_CASE(stream_without_numbered_events_ends_as_failed)
{
    const std::string first =
        chunked_head(200, answers_to("a")) + chunk(event(1, "one"));
    for (const std::string piece : {"data: x\n\n", ": comment\n\n", "\n\n"})
    {
        BOOST_TEST_CONTEXT("piece " << piece)
        {
            server.add(first);
            body.clear();
            const auto it = start("a", true);
            BOOST_REQUIRE(run_until(context, [&] { return !body.empty(); }));
            const auto progress = it->last_progress();
            std::string pieces;
            while (pieces.size() < targets::unnumbered_bytes_limit / 2)
                pieces += piece;
            server.send_all(chunk(pieces));
            BOOST_REQUIRE(run_until(context, [&]
                                    { return body.size() > pieces.size(); }));
            BOOST_TEST((it->last_progress() == progress));
            BOOST_TEST(!end.has_value());

            server.send_all(chunk(pieces) + chunk(piece));
            BOOST_REQUIRE(run_until(context, [&] { return end.has_value(); }));
            BOOST_TEST((end->result == outcome::failed));
            BOOST_TEST(end->reason == "events_without_numbers");
        }
    }
}

// Guards against a missing or repeated event in a resumed stream. The target
// continues it after another event than the requested one.
BOOST_AUTO_TEST_CASE(event_out_of_order_ends_as_failed)
{
    server.add(chunked_head(200, answers_to("a")) + chunk(event(7, "x")) +
               chunk(""));
    BOOST_TEST((run("a", true, 5).result == outcome::failed));
    BOOST_TEST(body.empty());

    server.add(chunked_head(200, answers_to("b")) + chunk(event(6, "x")) +
               chunk(event(6, "x")) + chunk(""));
    BOOST_TEST((run("b", true, 5).result == outcome::failed));
    BOOST_TEST(body == event(6, "x"));
}

BOOST_AUTO_TEST_CASE(refused_connection_ends_as_not_run_and_target_is_avoided)
{
    server.stop();
    const auto it = run("a");
    BOOST_TEST((it.result == outcome::not_run));
    BOOST_TEST(destination->load.health.is_avoided(common::clock::now()));
}

// Guards against sending all requests to a target that has stopped: as it has
// no load, it is preferred until its announcement expires.
BOOST_AUTO_TEST_CASE(replaced_target_ends_as_not_run_and_is_avoided)
{
    server.add(whole_answer(421, "", answers_to("a") + "Replaced: 1\r\n"));
    BOOST_TEST((run("a").result == outcome::not_run));
    BOOST_TEST(destination->load.health.is_avoided(common::clock::now()));
}

BOOST_AUTO_TEST_CASE(target_is_not_avoided_after_a_successful_answer)
{
    destination->record_failure(routing::target_failure::unreachable);
    server.add(whole_answer(200, "x", answers_to("a")));
    run("a");
    BOOST_TEST(!destination->load.health.is_avoided(common::clock::now()));
}

// Guards against choosing a target again at once that has repeatedly accepted
// requests without answering them.
BOOST_AUTO_TEST_CASE(target_is_avoided_after_two_silent_attempts)
{
    for (int n = 0; n < 2; ++n)
    {
        BOOST_TEST(!destination->load.health.is_avoided(common::clock::now()));
        const auto it = start("a");
        BOOST_REQUIRE(run_until(context, [&] { return it->may_have_run(); }));
        it->cancel_silent();
    }
    BOOST_TEST(destination->load.health.is_avoided(common::clock::now()));
}

// Guards against targets that keep working on cancelled requests: they cancel a
// request when its connection is closed.
BOOST_AUTO_TEST_CASE(cancel_closes_the_connection)
{
    server.add(chunked_head(200, answers_to("a")) + chunk(event(1, "one")));
    const auto it = start("a", true);
    BOOST_TEST(run_until(context, [&] { return !body.empty(); }));
    BOOST_TEST(destination->load.own_online == 1);
    it->cancel();
    BOOST_TEST(destination->load.own_online == 0);
    BOOST_TEST(run_until(context, [&] { return server.closed == 1; }));
    BOOST_TEST(!end.has_value());
}

// Guards against reusing a connection that the target closes, for example
// because it has answered early, while it may still read bytes of the request.
// The answer is preceded by an interim one (1xx).
BOOST_AUTO_TEST_CASE(connection_is_closed_after_an_answer_that_asks_for_it)
{
    server.add(
        "HTTP/1.1 100 Continue\r\n\r\n" +
        whole_answer(200, "ok", answers_to("a") + "Connection: close\r\n"));
    BOOST_TEST((run("a").result == outcome::complete));
    BOOST_TEST(body == "ok");
    BOOST_TEST(destination->idle_connections() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
