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
    /// Name of the listener in metrics and log lines.
    std::string name = "front";

    /// Open connections; further ones are closed at once.
    std::size_t max_connections = 4096;

    /// Bytes of a request's header; more is answered with 431.
    std::size_t max_header_bytes = 16 * 1024;

    /// Time in which a header must be complete, and time without a byte of
    /// the body.
    std::chrono::milliseconds read_timeout{10000};

    /// Time in which the caller reads nothing of an answer.
    std::chrono::milliseconds write_timeout{10000};

    /// Time that a connection stays open between two requests.
    std::chrono::milliseconds idle_timeout{60000};

    /// Whether answers carry X-Request-Id.
    bool adds_request_id = true;
};

} // namespace tanagertrack::http

#endif
