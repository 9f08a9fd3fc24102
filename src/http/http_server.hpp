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

class byte_budget;

/// Accepts HTTP/1.1 connections and passes their requests to a handler. Unless
/// stated otherwise, calls are made on the thread of the io_context.
class http_server
{
public:
    /// Called for each request when its header is complete.
    using request_handler = std::function<void(http_exchange_ptr)>;

    http_server(boost::asio::io_context& context, http_settings settings,
                request_handler handler);

    /// Closes the listener and all connections. Must not be called while the
    /// context runs on another thread.
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Accounts for connections and what they hold in `budget`. Call before
    /// `listen`.
    void use_budget(std::shared_ptr<byte_budget> budget);

    /// Binds to `local` and starts accepting. Returns the error of the first
    /// step that failed. May also be called before the context's thread starts.
    std::error_code listen(const common::endpoint& local);

    /// Returns the bound port, which the system chose if `listen` was called
    /// with port 0.
    std::uint16_t port() const;

    /// Stops accepting connections. Open connections are not affected.
    void stop_accepting();

    /// Replaces the limits. They apply to open connections, too.
    void set_settings(http_settings settings);

    /// Closes each connection after its next response.
    void drain();

    /// Closes the connections without a request in progress.
    void close_idle();

    /// Number of requests whose response is not yet written to the socket.
    /// Thread-safe.
    std::size_t requests_in_progress() const;

    /// Number of open connections. Thread-safe.
    std::size_t connections() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace tanagertrack::http

#endif
