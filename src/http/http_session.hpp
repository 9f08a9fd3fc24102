#ifndef TANAGERTRACK_HTTP_HTTP_SESSION_HPP
#define TANAGERTRACK_HTTP_HTTP_SESSION_HPP

#include "http/byte_budget.hpp"
#include "http/http_exchange.hpp"
#include "http/http_settings.hpp"
#include "http/request_state.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::http
{

/// One connection of an HTTP/1.1 server. Processes its requests one at a time.
/// Not thread-safe: except for `is_detached` and `executor`, it is used on the
/// server's thread.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    using request_handler = std::function<void(http_exchange_ptr)>;

    /// State shared by a server and its sessions. Thread-safe.
    struct server_state
    {
        /// True once the server is destroyed. Its context may be destroyed from
        /// then on, so calls of exchanges are ignored.
        std::atomic<bool> detached{false};

        /// True if connections are closed after their next response.
        std::atomic<bool> draining{false};

        /// Number of requests whose response is not yet written to the socket.
        std::atomic<std::size_t> requests_in_progress{0};
    };
    using server_state_ptr = std::shared_ptr<server_state>;

    /// `settings` must outlive the session. `on_closed` is called when the
    /// connection has ended.
    http_session(boost::asio::ip::tcp::socket socket,
                 const http_settings& settings, request_handler handler,
                 std::function<void(http_session*)> on_closed,
                 server_state_ptr server);
    ~http_session();

    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    /// Accounts for what the connection holds in `budget`. Call before `run`.
    void use_budget(std::shared_ptr<byte_budget> budget);

    /// Processes requests until the connection ends.
    boost::asio::awaitable<void> run();

    /// Closes the connection.
    void close();

    /// Closes the connection unless a request is in progress or has partly been
    /// received.
    void close_if_idle();

    boost::asio::any_io_executor executor();

    /// Returns true if the server is destroyed. Thread-safe.
    bool is_detached() const
    {
        return server_->detached;
    }

    /// Reads the next piece of the body for `handler`; see http_exchange.
    void read_body(request_state& state, http_exchange::body_handler handler);

    /// Sets the bytes that the recipient of the body holds; see http_exchange.
    void set_held_bytes(request_state& state, std::size_t bytes);

    /// Queues a step of the response for writing.
    void add_step(request_state& state, answer_step step);

    /// Ends a request whose exchange was released before the response was
    /// complete.
    void fail_unanswered(request_state& state);

private:
    using parser =
        boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    // Coroutines that return a bool return false if the connection has to be
    // closed.
    boost::asio::awaitable<bool> wait_for_request();
    bool has_unambiguous_framing() const;
    boost::asio::awaitable<bool> read_head();
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<void> read_piece();
    boost::asio::awaitable<bool> send_continue();
    boost::asio::awaitable<void> write_steps();
    boost::asio::awaitable<bool> write_all(std::string_view data);
    boost::asio::awaitable<void> discard_unread_body();
    boost::asio::awaitable<void> refuse(common::result_code code);

    /// Receives and parses the head of a request.
    boost::asio::awaitable<boost::system::error_code> receive_head();

    /// Waits until the budget lets `n` more bytes be read. Returns false if the
    /// connection was given up.
    boost::asio::awaitable<bool> wait_for_budget(std::size_t n);

    /// Parses what has been received of the body into the piece `body`, so that
    /// small chunks cost no reads and pieces of their own.
    void parse_received(boost::system::error_code& ec);

    void set_phase(holder_phase phase);
    void set_held(held_kind kind, std::size_t bytes);
    void record_progress(std::size_t n);

    /// Accounts for the input buffer and, with a request, its head.
    void account_for_head();
    void account_for_body(std::size_t piece_bytes);
    void handle_cut();

    /// Waits until `wake_timer_` expires or is cancelled.
    boost::asio::awaitable<void> wait_for_wake();

    std::size_t next_piece_bytes() const;

    /// Formats the head of a response. Without `length`, the body is chunked.
    /// Also sets `keep_alive_` and `chunked_`.
    std::string format_head(const answer_head& head,
                            std::optional<std::size_t> length);
    void append_step(std::string& out, const answer_step& step);
    void handle_head();

    /// Starts a read that waits for the next request or for a disconnect.
    void start_monitor();
    void complete_read(std::error_code ec, std::string chunk, bool end);
    void finish_request();
    bool peer_uses_http_1_1() const;

    boost::beast::tcp_stream stream_;
    const http_settings& settings_;
    request_handler handler_;
    std::function<void(http_session*)> on_closed_;
    server_state_ptr server_;

    /// Expires at the deadline of the current wait, if any. Cancelled to resume
    /// the coroutine on input, `read_body`, `add_step` or `close`.
    boost::asio::steady_timer wake_timer_;
    boost::beast::flat_buffer buffer_;

    /// Budget for the bytes held for all callers; may be nullptr.
    std::shared_ptr<byte_budget> budget_;
    byte_budget::holder holder_;
    std::size_t queued_answer_bytes_ = 0;

    // State of the current request.
    std::optional<parser> parser_;
    std::shared_ptr<request_state> current_;
    bool expects_continue_ = false;
    bool keep_alive_ = false;

    /// True if the response is streamed, without a Content-Length.
    bool chunked_ = false;

    // State of the connection.

    /// True while the read of `start_monitor` is pending.
    bool monitor_read_pending_ = false;

    /// True if the connection was closed or an operation on it failed.
    bool broken_ = false;
    bool first_request_ = true;
};

} // namespace tanagertrack::http

#endif
