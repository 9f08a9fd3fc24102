#ifndef TANAGERTRACK_HTTP_STATUS_HPP
#define TANAGERTRACK_HTTP_STATUS_HPP

namespace tanagertrack::http
{

/// Lowest HTTP status of a server error.
constexpr unsigned first_server_error = 500;

/// Returns true for the HTTP statuses 200 to 299.
constexpr bool is_success(unsigned status)
{
    return status / 100 == 2;
}

} // namespace tanagertrack::http

#endif
