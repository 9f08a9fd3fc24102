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

/// A server whose answers depend on the path.
struct fixture
{
    fixture()
        : server(thread.context(), small_limits(),
                 [this](auto it) { handle(it); })
    {
        BOOST_REQUIRE(!server.listen({"127.0.0.1", 0}));
        thread.start();
    }

    ~fixture()
    {
        thread.stop();
    }

    void handle(const http::http_exchange_ptr& it)
    {
        const auto path = it->head().path();
        if (path == "/echo")
            http::read_whole_body(it, max_body,
                                  [it](std::error_code ec, std::string body)
                                  { answer(it, ec, std::move(body)); });
        else if (path == "/now")
            it->respond({}, "early");
        else if (path == "/cut")
            cut(it);
        else if (path == "/flood")
            flood(it);
        else if (path == "/wait")
        {
            it->on_abandoned([this] { abandoned.set_value(); });
            held = it;
        }
    }

    static void answer(const http::http_exchange_ptr& it, std::error_code ec,
                       std::string body)
    {
        if (ec)
            it->refuse(http::rejection(common::to_result_code(ec)));
        else
            it->respond({}, std::move(body));
    }

    static void cut(const http::http_exchange_ptr& it)
    {
        it->start_answer({});
        it->write("part", [it](std::error_code) { it->abort(); });
    }

    void flood(const http::http_exchange_ptr& it)
    {
        it->start_answer({});
        write_on(it);
    }

    void write_on(const http::http_exchange_ptr& it)
    {
        it->write(std::string(65536, 'x'),
                  [this, it](std::error_code ec)
                  {
                      if (ec)
                          flood_ended.set_value(ec);
                      else
                          write_on(it);
                  });
    }

    common::io_thread thread{"front", 64};
    std::promise<void> abandoned;
    std::promise<std::error_code> flood_ended;
    http::http_exchange_ptr held;
    http::http_server server;
};

std::string post(std::string_view path, std::string_view body)
{
    return "POST " + std::string(path) +
           " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

bool has(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_server, fixture)

// Guards against answers that are swapped between pipelined requests.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order)
{
    raw_client client(server.port());
    client.send(post("/echo", "one") + post("/echo", "two") + post("/now", "") +
                post("/echo", "three"));
    BOOST_TEST(has(client.read_answer(), "\r\n\r\none"));
    BOOST_TEST(has(client.read_answer(), "\r\n\r\ntwo"));
    BOOST_TEST(has(client.read_answer(), "\r\n\r\nearly"));
    BOOST_TEST(has(client.read_answer(), "\r\n\r\nthree"));
}

BOOST_AUTO_TEST_CASE(header_flood_is_answered_with_431)
{
    raw_client client(server.port());
    client.send("GET /now HTTP/1.1\r\nX-Long: " + std::string(5000, 'a'));
    const auto answer = client.read_all();
    BOOST_TEST(has(answer, "HTTP/1.1 431 "));
    BOOST_TEST(has(answer, "\"name\":\"headers_too_large\""));
}

BOOST_AUTO_TEST_CASE(input_that_is_no_http_is_answered_with_400)
{
    raw_client client(server.port());
    client.send("\x16\x03\x01 hello\r\n\r\n");
    BOOST_TEST(has(client.read_all(), "HTTP/1.1 400 "));
}

// Guards against a body over the limit being read into memory, with and
// without an announced length.
// Guards against requests that are smuggled behind an end of the message, or a
// host, on which two readers don't agree.
BOOST_AUTO_TEST_CASE(message_without_a_certain_end_is_answered_with_400)
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

BOOST_AUTO_TEST_CASE(body_over_the_limit_is_answered_with_413)
{
    raw_client announced(server.port());
    announced.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: "
                   "1000000000\r\nExpect: 100-continue\r\n\r\n");
    BOOST_TEST(has(announced.read_answer(), "HTTP/1.1 413 "));

    raw_client chunked(server.port());
    chunked.send("POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n30D40\r\n" +
                 std::string(200000, 'b'));
    BOOST_TEST(has(chunked.read_answer(), "HTTP/1.1 413 "));
}

BOOST_AUTO_TEST_CASE(broken_chunk_is_answered_with_400)
{
    raw_client client(server.port());
    client.send("POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                "chunked\r\n\r\nzz\r\n");
    BOOST_TEST(has(client.read_all(), "HTTP/1.1 400 "));
}

BOOST_AUTO_TEST_CASE(expect_continue_is_served)
{
    raw_client client(server.port());
    client.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
                "Expect: 100-continue\r\n\r\n");
    BOOST_TEST(has(client.read_until("\r\n\r\n"), "100 Continue"));
    client.send("body");
    BOOST_TEST(has(client.read_answer(), "\r\n\r\nbody"));
}

// Guards against connections that are held open by silent callers.
BOOST_AUTO_TEST_CASE(half_a_request_is_closed_within_its_limit)
{
    raw_client header(server.port());
    raw_client body(server.port());
    header.send("GET /now HT");
    body.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab");
    BOOST_TEST(header.read_all() == "");
    BOOST_TEST(body.read_all() == "");
}

BOOST_AUTO_TEST_CASE(caller_that_reads_nothing_is_closed)
{
    raw_client client(server.port());
    client.send("GET /flood HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(flood_ended.get_future().get() ==
               make_error_code(common::result_code::connection_lost));
}

// Guards against truncated answers that look complete.
BOOST_AUTO_TEST_CASE(aborted_answer_has_no_end)
{
    raw_client client(server.port());
    client.send("GET /cut HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto answer = client.read_all();
    BOOST_TEST(has(answer, "4\r\npart\r\n"));
    BOOST_TEST(!has(answer, "\r\n0\r\n"));
}

BOOST_AUTO_TEST_CASE(exchange_without_answer_gets_internal_error)
{
    raw_client client(server.port());
    client.send("GET /dropped HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(has(client.read_answer(), "HTTP/1.1 500 "));
}

BOOST_AUTO_TEST_CASE(caller_that_leaves_is_noticed)
{
    {
        raw_client client(server.port());
        client.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    abandoned.get_future().get();
    held.reset();
}

BOOST_AUTO_TEST_CASE(connections_over_the_limit_are_closed)
{
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < 4; ++i)
    {
        clients.push_back(std::make_unique<raw_client>(server.port()));
        clients.back()->send(post("/echo", "x"));
        BOOST_TEST(has(clients.back()->read_answer(), "200 OK"));
    }
    raw_client extra(server.port());
    extra.send(post("/echo", "x"));
    BOOST_TEST(extra.read_all() == "");
}

BOOST_AUTO_TEST_SUITE_END()
