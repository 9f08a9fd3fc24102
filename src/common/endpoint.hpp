#ifndef TANAGERTRACK_COMMON_ENDPOINT_HPP
#define TANAGERTRACK_COMMON_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::common
{

/// An IP address and a port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Formats an endpoint as "127.0.0.1:80" or "[::1]:80".
std::string to_string(const endpoint& value);

/// Parses the format of `to_string`. Returns std::nullopt for host names and
/// for ports outside 1 to 65535.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Returns true if `text` is an IPv4 or IPv6 address.
bool is_ip_address(std::string_view text);

} // namespace tanagertrack::common

#endif
