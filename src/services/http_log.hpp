#ifndef TANAGERTRACK_SERVICES_HTTP_LOG_HPP
#define TANAGERTRACK_SERVICES_HTTP_LOG_HPP

#include "common/endpoint.hpp"
#include "services/log_service.hpp"

#include <chrono>
#include <cstddef>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::services
{

/// Settings of the client of the log service.
struct http_log_settings
{
    common::endpoint address;

    /// Time after which an append without an answer counts as unknown, and
    /// after which a read (beyond its wait) counts as unavailable.
    std::chrono::milliseconds timeout{2000};

    /// Connections kept open for appends and single reads, and for reads that
    /// wait. Further calls wait for a free one.
    std::size_t max_connections = 16;
};

/// Makes a client that speaks the log's HTTP protocol (docs/design.md,
/// section 8). The calls and their handlers run on the context's thread; the
/// context outlives the returned object.
log_service make_http_log(boost::asio::io_context& context,
                          http_log_settings settings);

} // namespace tanagertrack::services

#endif
