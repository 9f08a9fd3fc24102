#ifndef TANAGERTRACK_HTTP_CLIENT_CONNECTION_HPP
#define TANAGERTRACK_HTTP_CLIENT_CONNECTION_HPP

#include "common/clock.hpp"
#include "common/endpoint.hpp"
#include "http/header_list.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace tanagertrack::http
{

/// Head of an answer that was received.
struct response_head
{
    unsigned status = 0;
    header_list headers;
};

/// Progress of one request on a client connection. Hooks that are not set are
/// left out.
struct response_hooks
{
    /// The head is complete.
    std::function<void(const response_head&)> on_head;

    /// A piece of the body, without the transfer coding.
    std::function<void(std::string_view)> on_body;

    /// Called once, and nothing after it. No error: the answer is complete.
    std::function<void(std::error_code)> on_end;
};

/// Settings of client connections.
struct client_settings
{
    /// Time to establish a connection.
    std::chrono::milliseconds connect_timeout{1000};

    /// Bytes of an answer's head; more is an error.
    std::uint32_t max_header_bytes = 32 * 1024;

    /// Time without an acknowledgement after which the connection is given
    /// up by the kernel; the peer or the path is gone.
    std::chrono::milliseconds user_timeout{2500};
};

/// One HTTP/1.1 connection to a server. Carries one request at a time and
/// stays open between requests. One thread. The connection owns itself while
/// it is open; `close` drops all hooks.
class client_connection
    : public boost::intrusive_ref_counter<client_connection,
                                          boost::thread_unsafe_counter>
{
public:
    /// `settings` is copied.
    client_connection(boost::asio::io_context& context,
                      const client_settings& settings);

    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Connects. The handler gets the error, if any; it is not called after
    /// `close`.
    void connect(const common::endpoint& peer,
                 std::function<void(std::error_code)> handler);

    /// Sends a whole request, head and body. The connection must be idle.
    /// `without_body` is set for HEAD, whose answer has no body.
    void send(std::string request, response_hooks hooks,
              bool without_body = false);

    /// Stops and restarts reading the answer.
    void pause(bool paused);

    /// Closes the connection. No hook is called afterwards.
    void close();

    /// Sets what is called when the connection, while idle, is closed by the
    /// peer or receives bytes that belong to no request.
    void on_idle_end(std::function<void()> hook);

    /// Whether another request can be sent.
    bool is_idle() const
    {
        return state_ == state::idle;
    }

    bool is_closed() const
    {
        return state_ == state::closed;
    }

    /// Whether all bytes of the request were handed to the kernel.
    bool is_request_sent() const
    {
        return sent_;
    }

    /// When the connection became idle.
    common::time_point idle_since() const
    {
        return idle_since_;
    }

    /// Until when the peer keeps the idle connection; the maximum if it did
    /// not say.
    common::time_point idle_until() const
    {
        return idle_until_;
    }

private:
    enum class state
    {
        fresh,
        connecting,
        idle,
        busy,
        closed
    };

    using parser =
        boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void set_options();
    void write_on();
    void read_on();
    void take_read(const boost::system::error_code& ec, std::size_t n);
    void parse();
    void start_parser();
    bool take_head();
    void take_end_of_stream(const boost::system::error_code& ec);
    void complete();
    void note_keep_alive();
    void fail(std::error_code ec);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    client_settings settings_;
    state state_ = state::fresh;
    std::function<void(std::error_code)> connected_;
    std::function<void()> idle_end_;

    // The request under way.
    std::string request_;
    std::size_t written_ = 0;
    bool sent_ = true;
    bool without_body_ = false;

    /// Shared, so that a hook outlives a `close` that it makes itself.
    std::shared_ptr<const response_hooks> hooks_;
    std::optional<parser> parser_;
    bool head_taken_ = false;
    bool paused_ = false;
    bool reading_ = false;

    boost::beast::flat_buffer buffer_;

    common::time_point idle_since_;
    common::time_point idle_until_ = common::time_point::max();
    std::optional<std::chrono::seconds> keep_alive_;
};

using client_connection_ptr = boost::intrusive_ptr<client_connection>;

} // namespace tanagertrack::http

#endif
