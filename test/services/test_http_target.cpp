#include "common/result_code.hpp"
#include "services/http_target.hpp"
#include "services/sse_parser.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace tanagertrack;
using namespace tanagertrack::services;
using common::result_code;

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds wait_limit{20};

/// How the scripted target treats one request.
struct scripted_answer
{
    /// Pieces written one after the other.
    std::vector<std::string> pieces;
    bool close = false;
};

std::string whole_answer(std::string_view body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

const std::string events_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::string_view data)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + std::string(data) + "\r\n";
}

/// What the caller of one call was told.
struct outcome
{
    unsigned sent = 0;
    std::vector<std::string> events;
    std::optional<target_answer> answer;
    std::optional<std::error_code> failed;

    bool ended() const
    {
        return answer || failed;
    }
};

/// A target that answers from a script, and a client for it.
struct fixture
{
    fixture()
        : acceptor(context, {asio::ip::address_v4::loopback(), 0}),
          target(make_http_target(
              context, {{"127.0.0.1", acceptor.local_endpoint().port()}}))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    asio::awaitable<void> accept()
    {
        for (;;)
        {
            auto socket = co_await acceptor.async_accept(asio::use_awaitable);
            ++connections;
            asio::co_spawn(context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string in;
        try
        {
            for (;;)
            {
                const auto n = co_await asio::async_read_until(
                    socket, asio::dynamic_buffer(in), "{}",
                    asio::use_awaitable);
                requests.push_back(in.substr(0, n));
                in.erase(0, n);
                if (script.empty())
                    continue;
                const auto answer = script.front();
                script.pop_front();
                for (const auto& it : answer.pieces)
                    co_await asio::async_write(socket, asio::buffer(it),
                                               asio::use_awaitable);
                if (answer.close)
                    break;
            }
        }
        catch (const boost::system::system_error&)
        {
            ++closed_by_client;
        }
    }

    target_request request(bool stream = false) const
    {
        target_request it;
        it.path = "/v1/completions";
        it.body = "{}";
        it.work_id = "w-1";
        it.stream = stream;
        return it;
    }

    target_cancel call(target_request it, outcome& out)
    {
        return target.call(std::move(it), {[&out] { ++out.sent; },
                                           [&out](std::string_view data)
                                           { out.events.emplace_back(data); },
                                           [&out](target_answer answer)
                                           { out.answer = std::move(answer); },
                                           [&out](std::error_code ec)
                                           {
                                               out.failed = ec;
                                           }});
    }

    template<typename Condition>
    bool run_until(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + wait_limit;
        while (!condition() && std::chrono::steady_clock::now() < end)
            context.run_one_for(std::chrono::milliseconds(10));
        return condition();
    }

    outcome run(target_request it)
    {
        outcome out;
        const auto cancel = call(std::move(it), out);
        BOOST_TEST(run_until([&] { return out.ended(); }));
        return out;
    }

    asio::io_context context;
    tcp::acceptor acceptor;
    std::deque<scripted_answer> script;
    std::vector<std::string> requests;
    unsigned connections = 0;
    unsigned closed_by_client = 0;
    target_service target;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_target, fixture)

// Guards against events that are lost or joined when a piece of the stream
// ends within a line, or between the bytes of a line end.
BOOST_AUTO_TEST_CASE(events_survive_any_cut)
{
    const std::string text = ": hello\r\n\r\ndata: one\r\n\r\nevent: x\n"
                             "data:two\ndata: lines\n\ndata: [DONE]\r\r";
    const std::vector<std::string> expected = {"one", "two\nlines"};
    for (std::size_t step = 1; step <= text.size(); ++step)
    {
        std::vector<std::string> events;
        sse_parser parser(
            [&](std::string_view data) { events.emplace_back(data); }, 100);
        for (std::size_t i = 0; i < text.size(); i += step)
            BOOST_TEST(parser.feed(std::string_view(text).substr(i, step)));
        BOOST_TEST((events == expected));
        BOOST_TEST(parser.done());
    }
    sse_parser limited([](std::string_view) {}, 100);
    BOOST_TEST(!limited.feed("data: " + std::string(200, 'x')));
}

BOOST_AUTO_TEST_CASE(connection_is_used_again)
{
    script = {{{whole_answer("[1]")}}, {{whole_answer("[2]")}}};
    BOOST_TEST(run(request()).answer->body == "[1]");
    const auto second = run(request());
    BOOST_TEST(second.answer->body == "[2]");
    BOOST_TEST(second.sent == 1u);
    BOOST_TEST(connections == 1u);
    BOOST_TEST(requests[0].find("X-Work-Id: w-1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(streamed_answer_comes_as_events)
{
    script = {{{events_head, chunk("data: a\n"), chunk("\ndata: b\n\n"),
                chunk("data: [DONE]\n\n"), "0\r\n\r\n"}}};
    const auto out = run(request(true));
    BOOST_REQUIRE(out.answer.has_value());
    BOOST_TEST((out.events == std::vector<std::string>{"a", "b"}));
    BOOST_TEST(out.answer->body.empty());
}

// Guards against events that wait in a buffer for the rest of the answer.
BOOST_AUTO_TEST_CASE(event_comes_before_the_answer_ends)
{
    script = {{{events_head, chunk("data: a\n\n")}}};
    outcome out;
    const auto cancel = call(request(true), out);
    BOOST_TEST(run_until([&] { return out.events.size() == 1; }));
    BOOST_TEST(!out.ended());
    cancel();
}

// Guards against a truncated stream that is taken for a complete answer.
BOOST_AUTO_TEST_CASE(truncated_answers_are_failures)
{
    script = {{{events_head, chunk("data: a\n\n")}, true},
              {{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                "data: a\n\n"},
               true},
              {{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"}, true}};
    for (int i = 0; i < 3; ++i)
    {
        const auto out = run(request(true));
        BOOST_TEST(!out.answer.has_value());
        BOOST_TEST((out.failed == result_code::connection_lost));
    }
}

// Guards against a refused connection that is reported as possibly run.
BOOST_AUTO_TEST_CASE(refused_connection_is_not_sent)
{
    acceptor.close();
    const auto out = run(request());
    BOOST_TEST((out.failed == result_code::no_target));
    BOOST_TEST(out.sent == 0u);
}

// Guards against a second execution of work that may run once only: the
// target reads the request and closes, on a fresh and on a kept connection.
BOOST_AUTO_TEST_CASE(not_repeatable_call_is_sent_once)
{
    script = {{{whole_answer("[1]")}}, {{}, true}};
    run(request());
    auto once = request();
    once.repeatable = false;
    const auto out = run(once);
    BOOST_TEST((out.failed == result_code::connection_lost));
    BOOST_TEST(out.sent == 1u);
    BOOST_TEST(requests.size() == 2u);
}

// Guards against failures that callers see only because the target closed an
// idle connection.
BOOST_AUTO_TEST_CASE(repeatable_call_survives_a_closed_idle_connection)
{
    script = {{{whole_answer("[1]")}}, {{}, true}, {{whole_answer("[2]")}}};
    run(request());
    const auto out = run(request());
    BOOST_REQUIRE(out.answer.has_value());
    BOOST_TEST(out.answer->body == "[2]");
    BOOST_TEST(out.sent == 1u);
    BOOST_TEST(connections == 2u);
}

// Guards against cancelled work that goes on at the target, and against
// hooks that are called after a cancel.
BOOST_AUTO_TEST_CASE(cancel_closes_the_connection)
{
    outcome out;
    const auto cancel = call(request(), out);
    BOOST_TEST(run_until([&] { return requests.size() == 1; }));
    cancel();
    BOOST_TEST(run_until([&] { return closed_by_client == 1; }));
    BOOST_TEST(!out.ended());
    cancel();
}

BOOST_AUTO_TEST_CASE(silent_target_exceeds_the_deadline)
{
    auto late = request();
    late.timeout = std::chrono::milliseconds(50);
    const auto out = run(late);
    BOOST_TEST((out.failed == result_code::deadline_exceeded));
    BOOST_TEST(out.sent == 1u);
}

// Guards against a crash, a hang or unbounded memory after bytes that are
// not HTTP, and after an answer over the limit.
BOOST_AUTO_TEST_CASE(invalid_answers_are_failures)
{
    const auto seed = std::random_device{}();
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    for (int i = 0; i < 20; ++i)
    {
        std::string bytes = i % 2 == 0 ? "HTTP/1.1 200 OK\r\n" : "";
        for (int k = 0; k < 500; ++k)
            bytes += static_cast<char>(random());
        script = {{{bytes}, true}};
        BOOST_TEST(run(request()).failed.has_value());
    }
    script = {{{whole_answer(std::string(5 << 20, 'x'))}, true}};
    BOOST_TEST((run(request()).failed == result_code::protocol_error));
}

BOOST_AUTO_TEST_CASE(load_and_orders_are_parsed)
{
    script = {{{whole_answer("{\"accepted\":true}")}},
              {{"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"}}};
    std::vector<std::error_code> results;
    const auto record = [&](std::error_code ec)
    {
        results.push_back(ec);
    };
    // The scripted target takes "{}" as the end of a request.
    for (std::size_t i = 1; i <= 2; ++i)
    {
        target.order({"load_model", "{}", "", i}, record);
        BOOST_TEST(run_until([&] { return results.size() == i; }));
    }
    BOOST_TEST(!results[0]);
    BOOST_TEST((results[1] == result_code::invalid_order));
}

BOOST_AUTO_TEST_SUITE_END()
