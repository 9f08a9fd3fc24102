#ifndef TANAGERTRACK_SERVICES_HTTP_GET_HPP
#define TANAGERTRACK_SERVICES_HTTP_GET_HPP

#include "common/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::services
{

/// What to read and how much of it.
struct get_request
{
    common::endpoint address;

    /// Path and query.
    std::string target;

    /// Largest body in bytes; a larger one is a failure.
    std::uint64_t max_body_bytes = 0;

    /// Time for the whole call.
    std::chrono::milliseconds timeout{2000};
};

/// A whole answer.
struct get_answer
{
    unsigned status = 0;
    std::string body;

    /// Value of Retry-After; 0 without it.
    std::chrono::seconds retry_after{0};
};

/// Called once. `connection_lost` when there is no whole answer.
using get_handler = std::function<void(std::error_code ec, get_answer answer)>;

/// Makes one HTTP/1.1 GET on a connection of its own. The handler runs on the
/// context's thread.
void http_get(boost::asio::io_context& context, get_request request,
              get_handler handler);

} // namespace tanagertrack::services

#endif
