#ifndef TANAGERTRACK_STANDIN_HTTP_SERVER_HPP
#define TANAGERTRACK_STANDIN_HTTP_SERVER_HPP

#include "standin/stand_in.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace tanagertrack::standin
{

/// Serves a stand-in over HTTP/1.1: POST /control/fault, GET /control/seen and
/// GET /healthz itself, all other requests through stand_in::handle. Not
/// thread-safe: all calls are made on the thread of the io_context.
class http_server
{
public:
    /// Listens on `address`; throws boost::system::system_error if that fails.
    /// `served` has to outlive the server.
    http_server(const boost::asio::any_io_executor& executor,
                const boost::asio::ip::tcp::endpoint& address,
                stand_in& served);

    /// Accepts connections until the process ends. The faults `refuse` and
    /// `delay_ms` apply to the requests for stand_in::handle only.
    boost::asio::awaitable<void> run();

private:
    /// Connections over this limit are closed at once.
    static constexpr std::size_t max_connections = 8192;
    static constexpr std::size_t max_body_bytes = 64 * 1024 * 1024;
    static constexpr std::size_t max_header_bytes = 64 * 1024;

    /// Reads and answers the requests of a connection until it ends.
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    /// Responds to one request.
    boost::asio::awaitable<void> dispatch(http_exchange& exchange);

    boost::asio::ip::tcp::acceptor acceptor_;
    stand_in& stand_in_;
    std::size_t connections_ = 0;
};

} // namespace tanagertrack::standin

#endif
