#include "common/result_code.hpp"
#include "http/client_connection.hpp"
#include "support/event_loop.hpp"
#include "support/scripted_server.hpp"

#include <boost/test/unit_test.hpp>

#include <boost/asio/write.hpp>

#include <array>
#include <optional>
#include <ostream>
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

namespace
{

/// How a server leaves a connection on which a request is still arriving.
enum class leaving
{
    /// Resets it.
    reset,

    /// Closes it without having read all that has arrived, which resets it.
    close_unread,

    /// Reads all that has arrived and closes it, as the system does for a
    /// process that ends: what arrives later is answered by a reset.
    close_drained,

    /// The same after the end of its answer has been seen by the client.
    shutdown_first
};

std::ostream& operator<<(std::ostream& out, leaving how)
{
    return out << static_cast<int>(how);
}

/// A client connection whose server answers while the request still arrives.
struct upload_fixture
{
    upload_fixture()
    {
        connection->connect({"127.0.0.1", acceptor.local_endpoint().port()},
                            [this](std::error_code ec) { connected = !ec; });
        acceptor.async_accept(server, [this](auto) { accepted = true; });
        BOOST_REQUIRE(
            run_until(context, [&] { return connected && accepted; }));
        server.non_blocking(true);
    }

    ~upload_fixture()
    {
        connection->close();
        run_ready(context);
    }

    /// Sends a request with a body of `bytes` and runs until its head is there.
    void send(std::size_t bytes)
    {
        http::response_hooks hooks;
        hooks.on_body = [this](std::string_view piece)
        {
            received += piece;
        };
        hooks.on_end = [this](std::error_code ec)
        {
            result = ec;
        };
        connection->send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                             std::to_string(bytes) + "\r\n\r\n" +
                             std::string(bytes, 'u'),
                         std::move(hooks));
        BOOST_REQUIRE(run_until(context, [&] { return read_some() != 0; }));
    }

    std::size_t read_some()
    {
        std::array<char, 4096> buf{};
        boost::system::error_code ec;
        return server.read_some(boost::asio::buffer(buf), ec);
    }

    /// Reads all that has arrived.
    void read_all()
    {
        while (read_some() != 0)
        {
        }
    }

    void answer(const std::string& bytes)
    {
        boost::asio::write(server, boost::asio::buffer(bytes));
    }

    void leave(leaving how)
    {
        boost::system::error_code ec;
        if (how == leaving::reset)
            server.set_option(boost::asio::socket_base::linger(true, 0), ec);
        if (how == leaving::close_drained || how == leaving::shutdown_first)
            read_all();
        if (how == leaving::shutdown_first)
        {
            server.shutdown(boost::asio::socket_base::shutdown_send, ec);
            run_for(context, std::chrono::milliseconds(20));
        }
        server.close(ec);
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor{
        context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    boost::asio::ip::tcp::socket server{context};
    http::client_connection_ptr connection{
        new http::client_connection(context, http::client_settings())};
    bool connected = false;
    bool accepted = false;
    std::string received;
    std::optional<std::error_code> result;
};

const std::string head_without_length =
    "HTTP/1.1 200 X\r\nContent-Type: text/plain\r\n\r\n";

/// Larger than what the buffers of two sockets on loopback take.
constexpr std::size_t large_body = 32UL * 1024 * 1024;

/// Fits into these buffers.
constexpr std::size_t small_body = 1000;

} // namespace

BOOST_AUTO_TEST_SUITE(client_connection_uploads)

// Guards against a part of an answer without a length that is taken for the
// whole, because the server leaves while the request still arrives. If the
// server had read all that had come, the client sees an orderly end first, and
// the reset only when it writes on.
BOOST_AUTO_TEST_CASE(answer_without_a_length_cut_during_the_upload_is_an_error)
{
    for (const auto how : {leaving::reset, leaving::close_unread,
                           leaving::close_drained, leaving::shutdown_first})
    {
        for (const bool seen_before : {true, false})
        {
            BOOST_TEST_CONTEXT("leaving " << how << ", seen " << seen_before)
            {
                upload_fixture it;
                it.send(large_body);
                it.answer(head_without_length + "a part");
                if (seen_before)
                    BOOST_REQUIRE(run_until(it.context, [&]
                                            { return !it.received.empty(); }));
                it.leave(how);
                BOOST_REQUIRE(run_until(it.context,
                                        [&] { return it.result.has_value(); }));
                BOOST_TEST(it.result->message() != "Success");
            }
        }
    }
}

// Guards against the same if the rest of the request is in the buffers of the
// system, so that no write of the client sees the reset.
BOOST_AUTO_TEST_CASE(answer_is_not_complete_before_the_request_has_arrived)
{
    upload_fixture it;
    it.server.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    it.send(512UL * 1024);
    BOOST_REQUIRE(run_until(it.context,
                            [&] { return it.connection->is_request_sent(); }));
    it.answer(head_without_length + "a part");
    it.leave(leaving::close_drained);
    BOOST_REQUIRE(run_until(it.context, [&] { return it.result.has_value(); }));
    BOOST_TEST(it.result->message() != "Success");
}

// Guards against answers without a length that never end because the request
// has to arrive first.
BOOST_AUTO_TEST_CASE(answer_without_a_length_ends_once_the_request_has_arrived)
{
    for (const auto bytes : {small_body, large_body})
    {
        upload_fixture it;
        it.send(bytes);
        it.answer(head_without_length + "all of it");
        boost::system::error_code ec;
        it.server.shutdown(boost::asio::socket_base::shutdown_send, ec);
        BOOST_REQUIRE(run_until(it.context,
                                [&]
                                {
                                    it.read_all();
                                    return it.result.has_value();
                                }));
        BOOST_TEST(it.result->message() == "Success");
        BOOST_TEST(it.received == "all of it");
        BOOST_TEST(it.connection->is_request_sent());
    }
}

BOOST_AUTO_TEST_SUITE_END()
