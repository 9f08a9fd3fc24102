#ifndef TANAGERTRACK_COMMON_ACCEPTOR_HPP
#define TANAGERTRACK_COMMON_ACCEPTOR_HPP

#include "common/endpoint.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <system_error>

namespace tanagertrack::common
{

/// Opens `acceptor`, binds it to `local` with SO_REUSEADDR and listens. Returns
/// the error of the first step that failed.
std::error_code open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                              const endpoint& local);

} // namespace tanagertrack::common

#endif
