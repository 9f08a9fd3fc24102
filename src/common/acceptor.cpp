#include "common/acceptor.hpp"

#include <boost/asio/ip/address.hpp>

namespace tanagertrack::common
{

namespace asio = boost::asio;
using asio::ip::tcp;

std::error_code open_acceptor(tcp::acceptor& acceptor, const endpoint& local)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(local.address, ec);
    const tcp::endpoint bind_endpoint(address, local.port);
    if (!ec)
        acceptor.open(bind_endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(bind_endpoint, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    return ec;
}

} // namespace tanagertrack::common
