#include "common/result_code.hpp"
#include "transport/client_connection.hpp"
#include "transport/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace tanagertrack;
using namespace tanagertrack::transport;
using common::result_code;

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// Time after which a condition that was not met fails the test.
constexpr std::chrono::seconds wait_limit{20};

/// A free port of the loopback address.
common::endpoint free_endpoint()
{
    asio::io_context context;
    const tcp::acceptor probe(
        context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return {"127.0.0.1", probe.local_endpoint().port()};
}

/// Both ends of a connection. The ends have contexts of their own, so that
/// one of them can be frozen.
struct fixture
{
    fixture()
    {
        settings.cluster_key = "key";
        settings.ping_interval = std::chrono::milliseconds(50);
        settings.ping_timeout = std::chrono::milliseconds(1000);
    }

    template<typename Condition>
    bool run_until(Condition condition, bool run_server = true)
    {
        const auto end = std::chrono::steady_clock::now() + wait_limit;
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            if (run_server)
                server_context.run_one_for(std::chrono::milliseconds(1));
            client_context.run_one_for(std::chrono::milliseconds(1));
            server_context.restart();
            client_context.restart();
        }
        return condition();
    }

    void listen(server::stream_handler handler)
    {
        host.emplace(server_context, settings, std::move(handler));
        BOOST_REQUIRE(!host->listen(at));
    }

    void connect()
    {
        client.emplace(client_context, settings);
        client->start(at, {[this] { up = true; },
                           [this](std::error_code ec) { down = ec; },
                           [this]
                           {
                               going_away = true;
                           }});
    }

    void connect_and_wait()
    {
        connect();
        BOOST_REQUIRE(run_until([this] { return up; }));
    }

    /// Server that keeps its streams and records what arrives.
    void listen_and_record()
    {
        listen(
            [this](message_stream_ptr stream)
            {
                accepted = stream;
                stream->set_hooks(record(at_server));
            });
    }

    struct record_of_stream
    {
        std::vector<std::string> messages;
        unsigned writable = 0;
        bool finished = false;
        std::optional<std::error_code> closed;
    };

    static stream_hooks record(record_of_stream& it)
    {
        return {[&it](std::string_view text)
                { it.messages.emplace_back(text); },
                [&it] { ++it.writable; }, [&it] { it.finished = true; },
                [&it](std::error_code ec)
                {
                    BOOST_TEST(!it.closed.has_value());
                    it.closed = ec;
                }};
    }

    transport_settings settings;
    common::endpoint at = free_endpoint();
    asio::io_context server_context;
    asio::io_context client_context;
    message_stream_ptr accepted;
    record_of_stream at_server;
    record_of_stream at_client;
    bool up = false;
    bool going_away = false;
    std::optional<std::error_code> down;
    std::optional<server> host;
    std::optional<client_connection> client;
};

/// Handler that sends each message back and ends with the peer.
void echo(const message_stream_ptr& stream)
{
    auto* const raw = stream.get();
    stream->set_hooks({[raw](std::string_view text) { raw->send(text); },
                       {},
                       [raw] { raw->finish(); },
                       {}});
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(transport, fixture)

// Guards against lost, reordered or split messages, and against an end that
// overtakes messages. Sizes cover the frame size and the window.
BOOST_AUTO_TEST_CASE(messages_come_back_whole_and_in_order)
{
    const auto seed = std::random_device{}();
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    listen(echo);
    connect_and_wait();

    std::vector<std::string> sent = {"", "a", std::string(1 << 20, 'x'),
                                     std::string(4 << 20, 'y')};
    for (int i = 0; i < 200; ++i)
        sent.emplace_back(random() % 40000, static_cast<char>(random()));
    const auto stream = client->open("/work", record(at_client));
    BOOST_REQUIRE(stream);
    for (const auto& it : sent)
        stream->send(std::string_view(it));
    stream->finish();

    BOOST_TEST(run_until([&] { return at_client.closed.has_value(); }));
    BOOST_TEST(!*at_client.closed);
    BOOST_TEST(at_client.finished);
    BOOST_TEST((at_client.messages == sent));
}

// Guards against unbounded memory towards a peer that reads slowly, and
// against a paused stream that stops the others of its connection.
BOOST_AUTO_TEST_CASE(paused_reader_stops_the_sender_of_its_stream_only)
{
    settings.window_bytes = 64 * 1024;
    settings.send_buffer_bytes = 32 * 1024;
    listen_and_record();
    connect_and_wait();
    const auto stream = client->open("/work", record(at_client));
    stream->send("first");
    BOOST_REQUIRE(run_until([&] { return !at_server.messages.empty(); }));
    accepted->pause_reading(true);
    const auto paused = accepted;

    // The sender is told to stop, and nothing is delivered.
    const std::string block(16 * 1024, 'b');
    std::size_t sent = 0;
    const auto fill = [&]
    {
        bool room = true;
        while (room)
        {
            room = stream->send(std::string_view(block));
            ++sent;
        }
    };
    // Above the window the queue stays full, however long the peer waits.
    run_until(
        [&]
        {
            if (stream->queued_bytes() < settings.send_buffer_bytes)
                fill();
            return sent * block.size() > settings.window_bytes &&
                   stream->queued_bytes() > settings.send_buffer_bytes;
        });
    BOOST_TEST(at_server.messages.size() == 1u);

    // Another stream of the connection still works.
    record_of_stream other;
    const auto free = client->open("/work", record(other));
    free->send("other");
    BOOST_TEST(run_until([&] { return accepted != paused; }));
    BOOST_TEST(run_until([&] { return at_server.messages.size() == 2u; }));
    BOOST_TEST(sent * block.size() <= settings.window_bytes +
                                          2 * settings.send_buffer_bytes +
                                          2 * block.size());

    // Reading again delivers everything and calls on_writable.
    const auto before = at_client.writable;
    paused->pause_reading(false);
    BOOST_TEST(
        run_until([&] { return at_server.messages.size() == sent + 2; }));
    BOOST_TEST(run_until([&] { return at_client.writable > before; }));
}

// Guards against a cancel that the other side never sees, and against hooks
// that are called on the side that reset.
BOOST_AUTO_TEST_CASE(reset_is_seen_as_cancelled)
{
    listen_and_record();
    connect_and_wait();
    const auto stream = client->open("/work", record(at_client));
    stream->send("work");
    BOOST_REQUIRE(run_until([&] { return !at_server.messages.empty(); }));
    stream->reset();
    BOOST_TEST(!stream->is_open());
    BOOST_TEST(run_until([&] { return at_server.closed.has_value(); }));
    BOOST_TEST((*at_server.closed == result_code::cancelled));
    BOOST_TEST(!at_client.closed.has_value());
    BOOST_TEST(run_until([&] { return host->open_streams() == 0; }));
}

// Guards against attempts that hang when the peer dies.
BOOST_AUTO_TEST_CASE(lost_peer_ends_streams_then_the_connection)
{
    listen_and_record();
    connect_and_wait();
    const auto stream = client->open("/work", record(at_client));
    stream->send("work");
    BOOST_REQUIRE(run_until([&] { return !at_server.messages.empty(); }));
    host.reset();
    BOOST_TEST(run_until([&] { return down.has_value(); }));
    BOOST_REQUIRE(at_client.closed.has_value());
    BOOST_TEST((*at_client.closed == result_code::connection_lost));
    BOOST_TEST(!client->open("/work", {}));
}

// Guards against a process of another fleet, or none, that gets in.
BOOST_AUTO_TEST_CASE(wrong_key_closes_the_connection)
{
    listen_and_record();
    settings.cluster_key = "kex";
    connect_and_wait();
    const auto stream = client->open("/work", record(at_client));
    stream->send("work");
    BOOST_TEST(run_until([&] { return down.has_value(); }));
    BOOST_TEST(at_client.closed.has_value());
    BOOST_TEST(at_server.messages.empty());
    BOOST_TEST(run_until([&] { return host->open_connections() == 0; }));
}

// Guards against more streams than the peer has room for.
BOOST_AUTO_TEST_CASE(streams_and_connections_are_limited)
{
    settings.max_streams = 2;
    settings.max_connections = 1;
    listen(echo);
    connect_and_wait();
    const auto first = client->open("/work", record(at_client));
    const auto second = client->open("/work", {});
    BOOST_TEST(!client->open("/work", {}));
    second->reset();
    BOOST_TEST(!!client->open("/work", {}));

    client_connection surplus(client_context, settings);
    std::optional<std::error_code> surplus_down;
    surplus.start(at, {{}, [&](std::error_code ec) { surplus_down = ec; }, {}});
    BOOST_TEST(run_until([&] { return surplus_down.has_value(); }));
    BOOST_TEST(client->is_up());
}

// Guards against a frozen host whose connection looks open for ever.
BOOST_AUTO_TEST_CASE(frozen_peer_is_detected)
{
    settings.ping_timeout = std::chrono::milliseconds(100);
    listen_and_record();
    connect_and_wait();
    const auto stream = client->open("/status", record(at_client));
    BOOST_TEST(run_until([&] { return down.has_value(); }, false));
    BOOST_TEST((*at_client.closed == result_code::connection_lost));
}

// Guards against pings that end a healthy but idle connection.
BOOST_AUTO_TEST_CASE(idle_connection_stays)
{
    settings.ping_interval = std::chrono::milliseconds(5);
    listen(echo);
    connect_and_wait();
    const auto end =
        std::chrono::steady_clock::now() + 20 * settings.ping_interval;
    run_until([&] { return std::chrono::steady_clock::now() > end; });
    BOOST_TEST(client->is_up());
    BOOST_TEST(!down.has_value());
}

// Guards against a crash or a kept connection after bytes that are not
// HTTP/2, and against damage to other connections.
BOOST_AUTO_TEST_CASE(garbage_closes_only_its_connection)
{
    const auto seed = std::random_device{}();
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    listen(echo);
    connect_and_wait();
    for (int i = 0; i < 20; ++i)
    {
        // Half of the runs have the right preface and garbage frames.
        std::string bytes;
        if (i % 2 == 0)
            bytes = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
        for (int k = 0; k < 2000; ++k)
            bytes += static_cast<char>(random());
        tcp::socket raw(client_context);
        raw.connect({asio::ip::make_address(at.address), at.port});
        asio::write(raw, asio::buffer(bytes));
        bool ended = false;
        std::array<char, 4096> buf;
        std::function<void()> drain = [&]
        {
            raw.async_read_some(asio::buffer(buf),
                                [&](const auto& ec, std::size_t)
                                { ec ? void(ended = true) : drain(); });
        };
        // Frames of random lengths can be incomplete; the end of the input
        // ends them.
        raw.shutdown(tcp::socket::shutdown_send);
        drain();
        BOOST_TEST(run_until([&] { return ended; }));
    }
    BOOST_TEST(run_until([&] { return host->open_connections() == 1; }));
    BOOST_TEST(client->is_up());
}

// Guards against a length field that makes the reader allocate or wait.
BOOST_AUTO_TEST_CASE(oversized_message_ends_its_stream)
{
    auto large = settings;
    settings.max_message_bytes = 1000;
    listen_and_record();
    settings = large;
    connect_and_wait();
    const auto stream = client->open("/work", record(at_client));
    stream->send(std::string_view(std::string(2000, 'z')));
    BOOST_TEST(run_until([&] { return at_client.closed.has_value(); }));
    BOOST_TEST(run_until([&] { return at_server.closed.has_value(); }));
    BOOST_TEST((*at_server.closed == result_code::protocol_error));
    BOOST_TEST(at_server.messages.empty());
    BOOST_TEST(client->is_up());
}

// Guards against a planned stop that cuts streams, and against new streams
// that are taken after it.
BOOST_AUTO_TEST_CASE(going_away_lets_open_streams_end)
{
    listen(echo);
    connect_and_wait();
    const auto stream = client->open("/work", record(at_client));
    stream->send("one");
    BOOST_REQUIRE(run_until([&] { return at_client.messages.size() == 1; }));
    host->stop_accepting();
    BOOST_TEST(run_until([&] { return going_away; }));
    BOOST_TEST(!client->open("/work", {}));
    stream->send("two");
    stream->finish();
    BOOST_TEST(run_until([&] { return at_client.closed.has_value(); }));
    BOOST_TEST(!*at_client.closed);
    BOOST_TEST(at_client.messages.size() == 2u);
    BOOST_TEST(run_until([&] { return down.has_value(); }));
    BOOST_TEST(run_until([&] { return host->open_connections() == 0; }));
}

// Guards against use after free when a hook destroys its connection.
BOOST_AUTO_TEST_CASE(hook_may_destroy_the_connection)
{
    listen(echo);
    connect_and_wait();
    bool called = false;
    const std::string kept(1000, 'k');
    const auto stream = client->open("/work", {[&, kept](std::string_view)
                                               {
                                                   client.reset();
                                                   called = kept.size() == 1000;
                                               },
                                               {},
                                               {},
                                               {}});
    stream->send("bye");
    stream->send("again");
    BOOST_TEST(run_until([&] { return called; }));
    BOOST_TEST(!stream->is_open());
    BOOST_TEST(run_until([&] { return host->open_connections() == 0; }));
}

// Guards against a refused connection that is reported as up.
BOOST_AUTO_TEST_CASE(refused_connection_is_down)
{
    connect();
    BOOST_TEST(run_until([&] { return down.has_value(); }));
    BOOST_TEST(!up);
}

BOOST_AUTO_TEST_SUITE_END()
