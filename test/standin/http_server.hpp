#ifndef TANAGERTRACK_STANDIN_HTTP_SERVER_HPP
#define TANAGERTRACK_STANDIN_HTTP_SERVER_HPP

#include "standin/stand_in.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace tanagertrack::standin
{

/// Serves a stand-in over HTTP/1.1: POST /control/fault, GET /control/seen and
/// GET /healthz itself, everything else through the stand-in. One thread.
class http_server
{
public:
    /// Throws when it can't listen on `address`.
    http_server(const boost::asio::any_io_executor& executor,
                const boost::asio::ip::tcp::endpoint& address,
                stand_in& service);

    /// Accepts connections. A refusing stand-in still answers its control
    /// paths; other requests find their connection closed.
    boost::asio::awaitable<void> run();

private:
    /// Further connections are closed at once.
    static constexpr std::size_t max_connections = 8192;
    static constexpr std::size_t max_body_bytes = 64 * 1024 * 1024;
    static constexpr std::size_t max_header_bytes = 64 * 1024;

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> dispatch(http_exchange& exchange);

    boost::asio::ip::tcp::acceptor acceptor_;
    stand_in& service_;
    std::size_t connections_ = 0;
};

} // namespace tanagertrack::standin

#endif
