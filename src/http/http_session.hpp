#ifndef TANAGERTRACK_HTTP_HTTP_SESSION_HPP
#define TANAGERTRACK_HTTP_HTTP_SESSION_HPP

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

/// One connection of an HTTP/1.1 server. Serves its requests one after the
/// other. Lives on the server's thread.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    using request_handler = std::function<void(http_exchange_ptr)>;

    /// State that a server shares with its sessions. Any thread.
    struct server_state
    {
        /// The server is gone: its context may be destroyed from then on, and
        /// calls of exchanges are dropped.
        std::atomic<bool> detached{false};

        /// Connections end with their next answer.
        std::atomic<bool> draining{false};

        /// Requests whose answer is not handed to the socket yet.
        std::atomic<std::size_t> serving{0};
    };
    using server_state_ptr = std::shared_ptr<server_state>;

    /// `settings` outlives the session. `closed` is called at the end.
    http_session(boost::asio::ip::tcp::socket socket,
                 const http_settings& settings, request_handler handler,
                 std::function<void(http_session*)> closed,
                 server_state_ptr server);

    /// Serves until the connection ends.
    boost::asio::awaitable<void> run();

    /// Closes the connection.
    void close();

    /// Closes the connection unless a request is under way.
    void close_if_idle();

    boost::asio::any_io_executor executor();

    /// Whether the server is gone. Any thread.
    bool is_detached() const
    {
        return server_->detached;
    }

    /// Takes a call of an exchange.
    void read_body(request_state& state, http_exchange::body_handler handler);
    void add_step(request_state& state, answer_step step);
    void release_unanswered(request_state& state);

private:
    using parser =
        boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<bool> wait_for_request();
    bool has_certain_end() const;
    boost::asio::awaitable<bool> read_head();
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<void> read_piece();
    boost::asio::awaitable<bool> send_continue();
    boost::asio::awaitable<void> write_steps();
    boost::asio::awaitable<bool> write_all(std::string_view data);
    boost::asio::awaitable<void> drain();
    boost::asio::awaitable<void> refuse(common::result_code code);
    boost::asio::awaitable<void> wait_for_wake();

    std::size_t next_piece_bytes() const;
    std::string head_text(const answer_head& head,
                          std::optional<std::size_t> length);
    void append_step(std::string& out, const answer_step& step);
    void take_head();
    void start_monitor();
    void deliver(std::error_code ec, std::string chunk, bool end);
    void end_request();
    bool peer_uses_http_1_1() const;

    boost::beast::tcp_stream stream_;
    const http_settings& settings_;
    request_handler handler_;
    std::function<void(http_session*)> closed_;
    server_state_ptr server_;
    boost::asio::steady_timer wake_;
    boost::beast::flat_buffer buffer_;

    // State of the current request.
    std::optional<parser> parser_;
    std::shared_ptr<request_state> current_;
    bool expects_continue_ = false;
    bool keep_alive_ = false;
    bool chunked_ = false;

    // State of the connection.
    bool monitoring_ = false;
    bool broken_ = false;
    bool first_request_ = true;
};

} // namespace tanagertrack::http

#endif
