#ifndef TANAGERTRACK_SERVICES_HOST_LIST_HPP
#define TANAGERTRACK_SERVICES_HOST_LIST_HPP

#include "common/endpoint.hpp"

#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::services
{

/// State of a host in the platform's list, which lags behind the truth.
enum class host_state
{
    live,
    leaving
};

/// One host of the list.
struct listed_host
{
    /// IP number.
    std::string address;
    host_state state = host_state::live;
};

/// The platform's list of hosts. Calls on one thread.
struct host_list
{
    std::function<void(
        std::function<void(std::error_code, std::vector<listed_host>)>)>
        fetch;
};

/// Makes a client of the list (`GET /hosts`).
host_list make_http_host_list(boost::asio::io_context& context,
                              common::endpoint address);

} // namespace tanagertrack::services

#endif
