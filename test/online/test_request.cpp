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

/// What a caller got.
struct caller
{
    std::optional<http::rejection> refused;
    unsigned status = 0;
    std::string body;
    bool complete = false;
    bool broken = false;

    bool ended() const
    {
        return refused || complete || broken;
    }
};

/// An environment of online requests with targets behind scripted servers. A
/// request goes to the targets in the order in which they were added, as all
/// of them look alike and ties are broken by the lowest draw.
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
        const auto ids = std::vector<std::string>{"t1", "t2", "t3"};
        for (const auto& it : ids)
            set.remove(it);
        for (auto& it : servers)
            it.stop();
        run_ready(context);
    }

    scripted_server& add_target(const std::string& id, std::uint32_t slots = 2)
    {
        auto& server = servers.emplace_back(context);
        set.add(id, make_announcement(server.address(), "s", slots));
        return server;
    }

    online::answer_hooks hooks_for(caller& who)
    {
        online::answer_hooks hooks;
        hooks.refuse = [&who](const http::rejection& it)
        {
            BOOST_TEST(!who.ended());
            who.refused = it;
        };
        hooks.respond = [&who](const http::answer_head& head, std::string body)
        {
            BOOST_TEST(!who.ended());
            who.status = head.status;
            who.body = std::move(body);
            who.complete = true;
        };
        hooks.start = [&who](const http::answer_head& head)
        {
            BOOST_TEST(who.status == 0);
            who.status = head.status;
        };
        hooks.write = [&who](const std::string& piece, const auto& written)
        {
            who.body += piece;
            written({});
        };
        hooks.finish = [&who]
        {
            BOOST_TEST(!who.ended());
            who.complete = true;
        };
        hooks.abort = [&who]
        {
            BOOST_TEST(!who.ended());
            who.broken = true;
        };
        return hooks;
    }

    online::request_ptr start(caller& who, const std::string& id = "a",
                              std::chrono::milliseconds patience = 10s)
    {
        online::call call;
        call.id = id;
        call.method = "POST";
        call.target = "/x";
        call.host = "h";
        call.body = "body";
        call.configuration = std::make_shared<fleet::configuration>(
            1, std::vector{route}, std::vector<fleet::service>(),
            fleet::request_limits());
        call.route = &call.configuration->routes().front();
        call.repeats = route.repeats;
        call.received = common::clock::now();
        call.deadline = call.received + patience;
        online::request_ptr it(
            new online::request(shared, std::move(call), hooks_for(who)));
        it->start();
        return it;
    }

    caller run(const std::string& id = "a",
               std::chrono::milliseconds patience = 10s)
    {
        caller who;
        start(who, id, patience);
        BOOST_REQUIRE(run_until(context, [&] { return who.ended(); }));
        return who;
    }

    void make_stream()
    {
        route.kind = fleet::route_kind::stream;
        route.repeats = fleet::repetition::resumable;
        route.gap_objective = 100ms;
    }

    boost::asio::io_context context;
    std::list<scripted_server> servers;
    targets::target_protocol protocol = make_test_protocol();
    targets::target_set set{context, {"d", "", {}}, [] {
                            }};
    const routing::random_below lowest = [](std::size_t)
    {
        return 0;
    };
    routing::placement placement{routing::placement_settings(), lowest};
    online::online_settings settings;
    std::vector<std::string> asked_for_room;
    online::environment shared{context,
                               settings,
                               protocol,
                               set,
                               placement,
                               lowest,
                               [this](targets::target& it)
                               {
                                   asked_for_room.push_back(it.id());
                               }};
    fleet::route route;
};

const std::string head = answers_to("a");

} // namespace

BOOST_FIXTURE_TEST_SUITE(online_request, fixture)

BOOST_AUTO_TEST_CASE(whole_answer_reaches_the_caller_unchanged)
{
    add_target("t1").add(whole_answer(201, "hello", head));
    const auto who = run();
    BOOST_TEST(who.complete);
    BOOST_TEST(who.status == 201);
    BOOST_TEST(who.body == "hello");
}

// Guards against a cut answer that looks complete, and against the loss of a
// request that may be repeated.
BOOST_AUTO_TEST_CASE(cut_answer_is_asked_for_again_elsewhere)
{
    auto& first = add_target("t1");
    first.add("HTTP/1.1 200 X\r\n" + head + "Content-Length: 9\r\n\r\nhel",
              true);
    add_target("t2").add(whole_answer(200, "hello", head));
    const auto who = run();
    BOOST_TEST(who.complete);
    BOOST_TEST(who.body == "hello");
}

BOOST_AUTO_TEST_CASE(no_more_targets_than_allowed_run_a_request)
{
    std::vector<scripted_server*> all;
    for (const auto* id : {"t1", "t2", "t3"})
    {
        all.push_back(&add_target(id));
        all.back()->add("", true);
    }
    const auto who = run();
    BOOST_REQUIRE(who.refused.has_value());
    BOOST_TEST(who.refused->code == result_code::target_failed);
    BOOST_TEST((who.refused->ran == execution::may_have_run));
    BOOST_TEST(all[0]->requests.size() == 1);
    BOOST_TEST(all[1]->requests.size() == 1);
    BOOST_TEST(all[2]->requests.empty());
}

// Refused sends are no runs: another target is tried beyond the limit on runs.
BOOST_AUTO_TEST_CASE(refusal_of_a_target_is_no_run)
{
    route.max_attempts = 1;
    add_target("t1").add(whole_answer(503, "full", head + "Not-Run: 1\r\n"));
    add_target("t2").add(whole_answer(200, "hello", head));
    BOOST_TEST(run().body == "hello");
}

BOOST_AUTO_TEST_CASE(failure_of_a_target_is_given_on_after_the_last_attempt)
{
    add_target("t1").add(whole_answer(500, "broken", head));
    add_target("t2").add(whole_answer(500, "broken too", head));
    const auto who = run();
    BOOST_TEST(who.status == 500);
    BOOST_TEST(who.body == "broken too");
}

// Guards against a second run of work that may run once.
BOOST_AUTO_TEST_CASE(work_that_may_run_once_is_not_sent_again_after_a_break)
{
    route.repeats = fleet::repetition::once;
    add_target("t1").add("", true);
    auto& second = add_target("t2");
    const auto who = run();
    BOOST_REQUIRE(who.refused.has_value());
    BOOST_TEST((who.refused->ran == execution::may_have_run));
    BOOST_TEST(common::info(who.refused->code).http_status == 502);
    BOOST_TEST(second.requests.empty());
}

BOOST_AUTO_TEST_CASE(work_that_may_run_once_gets_the_failure_of_its_target)
{
    route.repeats = fleet::repetition::once;
    add_target("t1").add(whole_answer(500, "broken", head));
    auto& second = add_target("t2");
    BOOST_TEST(run().body == "broken");
    BOOST_TEST(second.requests.empty());
}

BOOST_AUTO_TEST_CASE(work_that_may_run_once_is_sent_again_after_a_refusal)
{
    route.repeats = fleet::repetition::once;
    add_target("t1").add(whole_answer(503, "full", head + "Not-Run: 1\r\n"));
    add_target("t2").add(whole_answer(200, "hello", head));
    BOOST_TEST(run().body == "hello");
}

// Guards against a 503 for work that ran and whose answer was late.
BOOST_AUTO_TEST_CASE(timeout_does_not_claim_that_the_work_did_not_run)
{
    route.repeats = fleet::repetition::once;
    route.timeout = 60ms;
    add_target("t1");
    const auto who = run();
    BOOST_REQUIRE(who.refused.has_value());
    BOOST_TEST(who.refused->code == result_code::deadline_exceeded);
    BOOST_TEST((who.refused->ran == execution::may_have_run));
}

BOOST_AUTO_TEST_CASE(deadline_of_the_caller_ends_the_wait_too)
{
    add_target("t1");
    const auto begin = common::clock::now();
    const auto who = run("a", 60ms);
    BOOST_TEST(who.refused.has_value());
    BOOST_TEST((common::clock::now() - begin < 2s));
}

BOOST_AUTO_TEST_CASE(request_without_a_target_is_refused_at_once_as_not_run)
{
    const auto who = run();
    BOOST_REQUIRE(who.refused.has_value());
    BOOST_TEST(who.refused->code == result_code::no_target);
    BOOST_TEST((who.refused->ran == execution::not_run));
    BOOST_TEST((who.refused->retry_after >= settings.retry_after));
}

BOOST_AUTO_TEST_CASE(unreachable_target_is_replaced)
{
    add_target("t1").stop();
    add_target("t2").add(whole_answer(200, "hello", head));
    BOOST_TEST(run().body == "hello");
}

// Callers leave while every place is taken; waiting for them would only make
// all others late too.
BOOST_AUTO_TEST_CASE(request_is_refused_when_its_wait_would_be_too_long)
{
    auto& server = add_target("t1", 1);
    std::list<caller> others(2);
    std::vector<online::request_ptr> under_way;
    unsigned n = 0;
    for (auto& it : others)
        under_way.push_back(start(it, "o" + std::to_string(n++)));
    BOOST_REQUIRE(
        run_until(context, [&] { return server.requests.size() == 1; }));
    const auto who = run();
    BOOST_REQUIRE(who.refused.has_value());
    BOOST_TEST(who.refused->code == result_code::overloaded);
    BOOST_TEST((who.refused->ran == execution::not_run));
    for (const auto& it : under_way)
        it->abandon();
}

// Batch items give way to online work.
BOOST_AUTO_TEST_CASE(place_is_freed_on_a_full_target)
{
    add_target("t1", 1).add(whole_answer(200, "hello", head));
    set.find("t1")->add_request(routing::work_class::batch);
    const auto who = run();
    BOOST_TEST(who.body == "hello");
    BOOST_TEST((asked_for_room == std::vector<std::string>{"t1"}));
    set.find("t1")->end_request(routing::work_class::batch);
}

// Guards against work on targets for callers that have left.
BOOST_AUTO_TEST_CASE(abandoned_request_is_dropped_at_its_target)
{
    auto& server = add_target("t1");
    caller who;
    const auto it = start(who);
    BOOST_REQUIRE(
        run_until(context, [&] { return server.requests.size() == 1; }));
    it->abandon();
    BOOST_TEST(run_until(context, [&] { return server.closed == 1; }));
    BOOST_TEST(!who.ended());
    BOOST_TEST(set.find("t1")->load.own_online == 0);
}

BOOST_AUTO_TEST_CASE(stream_is_given_on_event_by_event)
{
    make_stream();
    auto& server = add_target("t1");
    server.add(chunked_head(200, head) + chunk(event(1, "a")));
    caller who;
    start(who);
    BOOST_REQUIRE(run_until(context, [&] { return !who.body.empty(); }));
    BOOST_TEST(!who.ended());
    server.send_all(chunk(event(2, "b")) + chunk(""));
    BOOST_REQUIRE(run_until(context, [&] { return who.ended(); }));
    BOOST_TEST(who.complete);
    BOOST_TEST(who.body == event(1, "a") + event(2, "b"));
}

// Guards against events that are missing or doubled where two runs join.
BOOST_AUTO_TEST_CASE(broken_stream_goes_on_after_its_last_whole_event)
{
    make_stream();
    auto& first = add_target("t1");
    first.add(chunked_head(200, head) + chunk(event(1, "a")) +
                  chunk("id: 2\nda"),
              true);
    auto& second = add_target("t2");
    second.add(chunked_head(200, head) + chunk(event(2, "b")) + chunk(""));
    const auto who = run();
    BOOST_TEST(who.complete);
    BOOST_TEST(who.body == event(1, "a") + event(2, "b"));
    BOOST_REQUIRE(second.requests.size() == 1);
    BOOST_TEST(field_of(second.requests[0], "After") == "1");
}

BOOST_AUTO_TEST_CASE(silent_stream_goes_on_elsewhere_in_time)
{
    make_stream();
    auto& first = add_target("t1");
    first.add(chunked_head(200, head) + chunk(event(1, "a")));
    add_target("t2").add(chunked_head(200, head) + chunk(event(2, "b")) +
                         chunk(""));
    const auto begin = common::clock::now();
    const auto who = run();
    BOOST_TEST(who.complete);
    BOOST_TEST((common::clock::now() - begin < settings.first_event_timeout));
    BOOST_TEST(first.closed == 1);
}

BOOST_AUTO_TEST_CASE(stream_that_may_run_once_is_broken_off)
{
    make_stream();
    route.repeats = fleet::repetition::once;
    add_target("t1").add(chunked_head(200, head) + chunk(event(1, "a")), true);
    auto& second = add_target("t2");
    const auto who = run();
    BOOST_TEST(who.broken);
    BOOST_TEST(second.requests.empty());
}

// Guards against an answer that is given to another caller.
BOOST_AUTO_TEST_CASE(answer_of_another_request_is_not_given_on)
{
    add_target("t1").add(whole_answer(200, "theirs", answers_to("b")));
    add_target("t2").add(whole_answer(200, "hello", head));
    BOOST_TEST(run().body == "hello");
}

BOOST_AUTO_TEST_SUITE_END()
