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

/// Status and header fields of a received response.
struct response_head
{
    unsigned status = 0;
    header_list headers;
};

/// Callbacks for the response to one request. Each of them may be empty.
struct response_hooks
{
    /// Called once when the header is complete; not for 1xx responses.
    std::function<void(const response_head&)> on_head;

    /// Called for each piece of the body, with the chunked coding removed.
    std::function<void(std::string_view)> on_body;

    /// Called once, after all other callbacks. Without an error, the response
    /// is complete. Not called after `client_connection::close`.
    std::function<void(std::error_code)> on_end;
};

/// Settings of client connections.
struct client_settings
{
    /// Timeout for establishing a connection.
    std::chrono::milliseconds connect_timeout{1000};

    /// Maximum size of a response's header, and of all interim responses before
    /// it, in bytes; more is an error.
    std::uint32_t max_header_bytes = 32 * 1024;

    /// TCP_USER_TIMEOUT: the kernel closes the connection when sent data stays
    /// unacknowledged for this long, because the peer or the network path is
    /// down.
    std::chrono::milliseconds user_timeout{2500};
};

/// A persistent HTTP/1.1 connection to a server, for one request at a time.
/// Not thread-safe: all calls are made on the thread of the io_context. Pending
/// reads and writes hold a reference, so that an open connection stays alive;
/// `close` releases all hooks.
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

    /// Connects to `peer`. `handler` receives the error, if any; it is not
    /// called after `close`.
    void connect(const common::endpoint& peer,
                 std::function<void(std::error_code)> handler);

    /// Sends a complete request, header and body. The connection must be idle.
    /// `without_body` is true for HEAD requests, whose responses have no body.
    void send(std::string request, response_hooks hooks,
              bool without_body = false);

    /// Stops reading the response if `paused` is true, resumes it otherwise.
    void pause(bool paused);

    /// Closes the connection. No hook is called afterwards.
    void close();

    /// Sets a hook that is called when the peer closes the idle connection, or
    /// sends bytes without a request. The connection is closed by then.
    void on_idle_end(std::function<void()> hook);

    /// Returns true if another request can be sent.
    bool is_idle() const
    {
        return state_ == state::idle;
    }

    bool is_closed() const
    {
        return state_ == state::closed;
    }

    /// Returns true if all bytes of the request were passed to the kernel.
    bool is_request_sent() const
    {
        return request_sent_;
    }

    /// Time at which the connection became idle.
    common::time_point idle_since() const
    {
        return idle_since_;
    }

    /// Time until which the peer keeps the idle connection open, from its
    /// Keep-Alive header; time_point::max() without one.
    common::time_point idle_until() const
    {
        return idle_until_;
    }

private:
    enum class state
    {
        unconnected,
        connecting,
        idle,
        busy,
        closed
    };

    using parser =
        boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void set_options();
    void write_some();
    void read_some();
    void handle_read(const boost::system::error_code& ec, std::size_t n);
    void parse();
    void start_parser();

    /// Calls `on_head`. Returns false for a 1xx response, after which parsing
    /// starts again with the next response, and after a failure.
    bool handle_head();

    void handle_end_of_stream(const boost::system::error_code& ec);

    /// Completes a response that ended with its connection once the peer has
    /// received the whole request, and fails it if the connection was reset
    /// meanwhile.
    void complete_when_delivered();

    /// Returns the error of the socket that was not reported yet, if any.
    boost::system::error_code pending_error() const;

    /// Returns the number of bytes of the request that were written and that
    /// the peer has not acknowledged.
    std::size_t undelivered_bytes();
    void complete();
    void fail(std::error_code ec);

    boost::asio::ip::tcp::socket socket_;

    /// Timeout of establishing the connection; later, of the next check whether
    /// the request was delivered.
    boost::asio::steady_timer timer_;
    client_settings settings_;
    state state_ = state::unconnected;
    std::function<void(std::error_code)> connect_handler_;
    std::function<void()> idle_end_hook_;

    // The current request.
    std::string request_;
    std::size_t bytes_written_ = 0;
    bool request_sent_ = true;
    bool without_body_ = false;

    /// Shared, so that a hook that calls `close` is not destroyed while it
    /// runs.
    std::shared_ptr<const response_hooks> hooks_;
    std::optional<parser> parser_;
    bool head_received_ = false;

    /// Bytes of the heads of this request's interim and final responses.
    std::size_t head_bytes_ = 0;

    /// True once the peer has closed the connection after a response without a
    /// length.
    bool response_ended_ = false;
    bool paused_ = false;
    bool read_pending_ = false;

    /// True while received bytes are passed to the parser and to the hooks.
    bool parsing_ = false;

    boost::beast::flat_buffer buffer_;

    common::time_point idle_since_;
    common::time_point idle_until_ = common::time_point::max();

    /// Keep-Alive timeout in the header of the current response.
    std::optional<std::chrono::seconds> keep_alive_;
};

using client_connection_ptr = boost::intrusive_ptr<client_connection>;

} // namespace tanagertrack::http

#endif
