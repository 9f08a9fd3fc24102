#ifndef TANAGERTRACK_HTTP_HTTP_SERVER_HPP
#define TANAGERTRACK_HTTP_HTTP_SERVER_HPP

#include "common/endpoint.hpp"
#include "http/http_exchange.hpp"
#include "http/http_settings.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <system_error>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::http
{

/// Accepts HTTP/1.1 connections. One thread: that of the context.
class http_server
{
public:
    /// Called for each request once its header is complete.
    using request_handler = std::function<void(http_exchange_ptr)>;

    http_server(boost::asio::io_context& context, http_settings settings,
                request_handler handler);

    /// Closes the listener and all connections. Not while the context runs
    /// on another thread.
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds and accepts. Returns the error of bind or listen. Call before
    /// the context's thread starts, or on it.
    std::error_code listen(const common::endpoint& local);

    /// Port that was bound, for a local endpoint with port 0.
    std::uint16_t port() const;

    /// Accepts no further connections; open ones go on.
    void stop_accepting();

    /// Sets the limits of requests and connections from now on. On the
    /// server's thread.
    void set_settings(http_settings settings);

    /// Ends each connection with its next answer.
    void drain();

    /// Closes the connections on which no request is under way. On the
    /// server's thread.
    void close_idle();

    /// Requests whose answer is not handed to the socket yet. Any thread.
    std::size_t serving() const;

    /// Open connections. Any thread.
    std::size_t connections() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace tanagertrack::http

#endif
