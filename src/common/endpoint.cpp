#include "common/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace tanagertrack::common
{

std::string to_string(const endpoint& value)
{
    const bool is_v6 = value.address.find(':') != std::string::npos;
    const auto host = is_v6 ? "[" + value.address + "]" : value.address;
    return host + ":" + std::to_string(value.port);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);

    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    if (!is_ip_address(host))
        return std::nullopt;

    std::uint16_t port = 0;
    const auto end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return std::nullopt;
    return endpoint{std::string(host), port};
}

bool is_ip_address(std::string_view text)
{
    const std::string copy(text);
    in6_addr buf{};
    return inet_pton(AF_INET, copy.c_str(), &buf) == 1 ||
           inet_pton(AF_INET6, copy.c_str(), &buf) == 1;
}

} // namespace tanagertrack::common
