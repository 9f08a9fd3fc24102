#ifndef TANAGERTRACK_HTTP_STATUS_HPP
#define TANAGERTRACK_HTTP_STATUS_HPP

namespace tanagertrack::http
{

/// Announces that another protocol follows on the connection.
constexpr unsigned status_switching_protocols = 101;

/// Lowest HTTP status of a server error.
constexpr unsigned first_server_error = 500;

/// Returns true for the statuses that a response can have.
constexpr bool is_status(unsigned status)
{
    return status >= 100 && status <= 599;
}

/// Returns true for the statuses 100 to 199, of responses that precede another.
constexpr bool is_interim(unsigned status)
{
    return status / 100 == 1;
}

/// Returns true for the HTTP statuses 200 to 299.
constexpr bool is_success(unsigned status)
{
    return status / 100 == 2;
}

} // namespace tanagertrack::http

#endif
