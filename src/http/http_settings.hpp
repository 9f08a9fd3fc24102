#ifndef TANAGERTRACK_HTTP_HTTP_SETTINGS_HPP
#define TANAGERTRACK_HTTP_HTTP_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <string>

namespace tanagertrack::http
{

/// Limits of one HTTP/1.1 listener.
struct http_settings
{
    /// Name of the listener in log lines.
    std::string name = "front";

    /// Maximum number of open connections; further ones are closed immediately.
    std::size_t max_connections = 4096;

    /// Maximum size of a request's header in bytes; larger ones get status 431.
    std::size_t max_header_bytes = 16 * 1024;

    /// Timeout for receiving a complete header, and for the next bytes of a
    /// body.
    std::chrono::milliseconds read_timeout{10000};

    /// Timeout for a write that makes no progress because the caller doesn't
    /// read.
    std::chrono::milliseconds write_timeout{10000};

    /// Time for which a connection may stay idle between two requests.
    std::chrono::milliseconds idle_timeout{60000};

    /// True if responses carry X-Request-Id.
    bool adds_request_id = true;
};

} // namespace tanagertrack::http

#endif
