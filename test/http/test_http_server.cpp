#include "common/io_thread.hpp"
#include "http/http_server.hpp"
#include "support/raw_client.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>

using namespace tanagertrack;
using test::raw_client;

namespace
{

constexpr std::size_t max_body = 100000;

http::http_settings small_limits()
{
    http::http_settings limits;
    limits.max_header_bytes = 2048;
    limits.max_connections = 4;
    limits.read_timeout = std::chrono::milliseconds(300);
    limits.write_timeout = std::chrono::milliseconds(300);
    return limits;
}

/// A server whose response depends on the request path.
struct fixture
{
    fixture()
        : server(thread.context(), small_limits(),
                 [this](auto exchange) { handle(exchange); })
    {
        BOOST_REQUIRE(!server.listen({"127.0.0.1", 0}));
        thread.start();
    }

    ~fixture()
    {
        thread.stop();
    }

    void handle(const http::http_exchange_ptr& exchange)
    {
        const auto path = exchange->head().path();
        if (path == "/echo")
            http::read_whole_body(
                exchange, max_body,
                [exchange](std::error_code ec, std::string body)
                { echo(exchange, ec, std::move(body)); });
        else if (path == "/now")
            exchange->respond({}, "early");
        else if (path == "/cut")
            send_part_and_abort(exchange);
        else if (path == "/flood")
            stream_endlessly(exchange);
        else if (path == "/wait")
        {
            exchange->on_abandoned([this] { abandoned.set_value(); });
            held = exchange;
        }
    }

    static void echo(const http::http_exchange_ptr& exchange,
                     std::error_code ec, std::string body)
    {
        if (ec)
            exchange->refuse(http::rejection(common::to_result_code(ec)));
        else
            exchange->respond({}, std::move(body));
    }

    static void send_part_and_abort(const http::http_exchange_ptr& exchange)
    {
        exchange->start_answer({});
        exchange->write("part",
                        [exchange](std::error_code) { exchange->abort(); });
    }

    void stream_endlessly(const http::http_exchange_ptr& exchange)
    {
        exchange->start_answer({});
        write_next(exchange);
    }

    void write_next(const http::http_exchange_ptr& exchange)
    {
        exchange->write(std::string(65536, 'x'),
                        [this, exchange](std::error_code ec)
                        {
                            if (ec)
                                flood_error.set_value(ec);
                            else
                                write_next(exchange);
                        });
    }

    common::io_thread thread{"front", 64};
    std::promise<void> abandoned;
    std::promise<std::error_code> flood_error;
    http::http_exchange_ptr held;
    http::http_server server;
};

std::string post(std::string_view path, std::string_view body)
{
    return "POST " + std::string(path) +
           " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_server, fixture)

// Guards against responses that are sent in the wrong order, or for the wrong
// request, when several requests are received in one read.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order)
{
    raw_client client(server.port());
    client.send(post("/echo", "one") + post("/echo", "two") + post("/now", "") +
                post("/echo", "three"));
    BOOST_TEST(contains(client.read_answer(), "\r\n\r\none"));
    BOOST_TEST(contains(client.read_answer(), "\r\n\r\ntwo"));
    BOOST_TEST(contains(client.read_answer(), "\r\n\r\nearly"));
    BOOST_TEST(contains(client.read_answer(), "\r\n\r\nthree"));
}

// Guards against headers of unlimited size being read into memory.
BOOST_AUTO_TEST_CASE(header_over_the_limit_gets_431)
{
    raw_client client(server.port());
    client.send("GET /now HTTP/1.1\r\nX-Long: " + std::string(5000, 'a'));
    const auto answer = client.read_all();
    BOOST_TEST(contains(answer, "HTTP/1.1 431 "));
    BOOST_TEST(contains(answer, "\"name\":\"headers_too_large\""));
}

BOOST_AUTO_TEST_CASE(input_that_is_not_http_gets_400)
{
    raw_client client(server.port());
    client.send("\x16\x03\x01 hello\r\n\r\n");
    BOOST_TEST(contains(client.read_all(), "HTTP/1.1 400 "));
}

// Guards against request smuggling: if two recipients disagree about the end or
// the host of a message, the rest of its body is taken for another request.
BOOST_AUTO_TEST_CASE(request_with_ambiguous_framing_gets_400)
{
    for (const std::string fields :
         {"Content-Length: 3\r\nContent-Length: 4\r\n",
          "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked, identity\r\n",
          "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: xchunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          "Host: y\r\n"})
    {
        raw_client client(server.port());
        client.send("POST /echo HTTP/1.1\r\nHost: x\r\n" + fields +
                    "\r\n3\r\nabc\r\n0\r\n\r\n");
        const auto answer = client.read_all();
        BOOST_TEST(answer.starts_with("HTTP/1.1 400 "), fields);
        BOOST_TEST(answer.find("HTTP/1.1", 1) == answer.npos, fields);
    }
}

// Guards against a body over the limit being read into memory, with and
// without a Content-Length.
BOOST_AUTO_TEST_CASE(body_over_the_limit_gets_413)
{
    raw_client announced(server.port());
    announced.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: "
                   "1000000000\r\nExpect: 100-continue\r\n\r\n");
    BOOST_TEST(contains(announced.read_answer(), "HTTP/1.1 413 "));

    raw_client chunked(server.port());
    chunked.send("POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n30D40\r\n" +
                 std::string(200000, 'b'));
    BOOST_TEST(contains(chunked.read_answer(), "HTTP/1.1 413 "));
}

BOOST_AUTO_TEST_CASE(malformed_chunk_gets_400)
{
    raw_client client(server.port());
    client.send("POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                "chunked\r\n\r\nzz\r\n");
    BOOST_TEST(contains(client.read_all(), "HTTP/1.1 400 "));
}

BOOST_AUTO_TEST_CASE(body_is_requested_when_caller_expects_100_continue)
{
    raw_client client(server.port());
    client.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
                "Expect: 100-continue\r\n\r\n");
    BOOST_TEST(contains(client.read_until("\r\n\r\n"), "100 Continue"));
    client.send("body");
    BOOST_TEST(contains(client.read_answer(), "\r\n\r\nbody"));
}

// Guards against silent callers that hold connections open, with an incomplete
// header or an incomplete body.
BOOST_AUTO_TEST_CASE(connection_is_closed_when_request_stays_incomplete)
{
    raw_client header(server.port());
    raw_client body(server.port());
    header.send("GET /now HT");
    body.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab");
    BOOST_TEST(header.read_all() == "");
    BOOST_TEST(body.read_all() == "");
}

// Guards against responses that wait forever because the caller does not read.
BOOST_AUTO_TEST_CASE(write_fails_when_caller_reads_nothing)
{
    raw_client client(server.port());
    client.send("GET /flood HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(flood_error.get_future().get() ==
               make_error_code(common::result_code::connection_lost));
}

// Guards against truncated responses that look complete: the caller must not
// receive the last chunk of an aborted response.
BOOST_AUTO_TEST_CASE(aborted_answer_has_no_last_chunk)
{
    raw_client client(server.port());
    client.send("GET /cut HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto answer = client.read_all();
    BOOST_TEST(contains(answer, "4\r\npart\r\n"));
    BOOST_TEST(!contains(answer, "\r\n0\r\n"));
}

// Guards against callers that wait forever because a handler lost the request.
BOOST_AUTO_TEST_CASE(request_gets_500_when_exchange_is_released_without_answer)
{
    raw_client client(server.port());
    client.send("GET /dropped HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(contains(client.read_answer(), "HTTP/1.1 500 "));
}

BOOST_AUTO_TEST_CASE(abandoned_hook_is_called_when_caller_disconnects)
{
    {
        raw_client client(server.port());
        client.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    abandoned.get_future().get();
    held.reset();
}

BOOST_AUTO_TEST_CASE(connection_over_the_limit_is_closed)
{
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < 4; ++i)
    {
        clients.push_back(std::make_unique<raw_client>(server.port()));
        clients.back()->send(post("/echo", "x"));
        BOOST_TEST(contains(clients.back()->read_answer(), "200 OK"));
    }
    raw_client extra(server.port());
    extra.send(post("/echo", "x"));
    BOOST_TEST(extra.read_all() == "");
}

BOOST_AUTO_TEST_SUITE_END()
