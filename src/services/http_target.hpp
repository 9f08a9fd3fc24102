#ifndef TANAGERTRACK_SERVICES_HTTP_TARGET_HPP
#define TANAGERTRACK_SERVICES_HTTP_TARGET_HPP

#include "common/endpoint.hpp"
#include "services/target_service.hpp"

#include <chrono>
#include <cstddef>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::services
{

/// Settings of the client of a target.
struct http_target_settings
{
    common::endpoint address;
    std::chrono::milliseconds connect_timeout{500};

    /// Idle connections kept for later calls.
    std::size_t max_idle_connections = 64;

    /// Largest answer in bytes.
    std::size_t max_answer_bytes = 4 * 1024 * 1024;
};

/// Makes a client that speaks HTTP/1.1 to an engine or a plain service
/// (docs/design.md, section 8).
target_service make_http_target(boost::asio::io_context& context,
                                http_target_settings settings);

} // namespace tanagertrack::services

#endif
