#include "common/result_code.hpp"
#include "http/client_connection.hpp"
#include "support/event_loop.hpp"
#include "support/scripted_server.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

using namespace tanagertrack;
using namespace tanagertrack::test;

namespace
{

/// A client connection to a scripted server.
struct fixture
{
    ~fixture()
    {
        connection->close();
        server.stop();
        run_ready(context);
    }

    /// Connects, in place of the connection before.
    void connect()
    {
        connection->close();
        connection =
            new http::client_connection(context, http::client_settings());
        bool connected = false;
        connection->connect(server.address(),
                            [&](std::error_code ec) { connected = !ec; });
        BOOST_REQUIRE(run_until(context, [&] { return connected; }));
    }

    /// Returns the body of the response, or the error message.
    std::string get(const std::function<void()>& on_body = [] {})
    {
        std::string body;
        std::optional<std::error_code> result;
        http::response_hooks hooks;
        hooks.on_body = [&](std::string_view piece)
        {
            body += piece;
            on_body();
        };
        hooks.on_end = [&](std::error_code ec)
        {
            result = ec;
        };
        connection->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n", std::move(hooks));
        BOOST_REQUIRE(run_until(context, [&] { return result.has_value(); }));
        return *result ? result->message() : body;
    }

    boost::asio::io_context context;
    scripted_server server{context};
    http::client_connection_ptr connection{
        new http::client_connection(context, http::client_settings())};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(client_connection, fixture)

// Guards against a read that starts while the parser consumes the buffer: its
// bytes end up in the wrong place, and the next response is taken for garbage.
BOOST_AUTO_TEST_CASE(response_is_intact_after_reading_is_resumed_in_its_hook)
{
    connect();
    const auto resume = [this]
    {
        connection->pause(false);
    };
    for (const auto* text : {"first", "second", "third"})
    {
        server.add(chunked_head(200) + chunk(text) + chunk(""));
        BOOST_TEST(get(resume) == text);
    }
}

// Guards against bytes of a server in trouble that are taken for a response,
// and relayed, because their first line has the form of a status line. No
// request asks for another protocol, which 101 would announce.
BOOST_AUTO_TEST_CASE(response_whose_status_is_none_is_an_error)
{
    const auto message =
        make_error_code(common::result_code::protocol_error).message();
    for (const std::string status :
         {"000", "001", "099", "101", "600", "777", "999"})
    {
        BOOST_TEST_CONTEXT("status " << status)
        {
            connect();
            server.add("HTTP/1.1 " + status +
                       " X\r\nContent-Length: 2\r\n\r\nhi");
            BOOST_TEST(get() == message);
            BOOST_TEST(connection->is_closed());
        }
    }
    for (const std::string status : {"200", "299", "404", "500", "599"})
    {
        connect();
        server.add("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nhi");
        BOOST_TEST(get() == "hi");
    }
}

// Guards against a server that sends interim responses without end, which keeps
// its reader busy for as long as the reader waits.
BOOST_AUTO_TEST_CASE(interim_responses_without_end_are_an_error)
{
    const std::string interim = "HTTP/1.1 102 X\r\nA: b\r\n\r\n";
    std::string some;
    while (some.size() < http::client_settings().max_header_bytes / 2)
        some += interim;
    connect();
    server.add(some + whole_answer(200, "hi"));
    BOOST_TEST(get() == "hi");

    // The number starts anew with each request.
    server.add(some + whole_answer(200, "hi"));
    BOOST_TEST(get() == "hi");
    BOOST_TEST(server.accepted == 1);

    server.add(some + some + interim);
    BOOST_TEST(get() ==
               make_error_code(common::result_code::protocol_error).message());
}

BOOST_AUTO_TEST_SUITE_END()
