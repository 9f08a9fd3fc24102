#include "api/service_rules.hpp"

#include <algorithm>
#include <charconv>

namespace tanagertrack::api
{

namespace
{

constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::size_t escape_digits = 2;

/// Decodes %XX escapes. Returns std::nullopt for invalid escapes and for
/// encoded zero bytes, slashes and backslashes.
std::optional<std::string> percent_decode(std::string_view path)
{
    std::string out;
    while (!path.empty())
    {
        if (path.front() != '%')
        {
            out += path.front();
            path.remove_prefix(1);
            continue;
        }
        unsigned value = 0;
        const auto digits = path.substr(1, escape_digits);
        const auto* end = digits.data() + digits.size();
        const auto result = std::from_chars(digits.data(), end, value, 16);
        const bool valid = digits.size() == escape_digits &&
                           result.ec == std::errc() && result.ptr == end;
        if (!valid || value == 0 || value == '/' || value == '\\')
            return std::nullopt;
        out += static_cast<char>(value);
        path.remove_prefix(1 + escape_digits);
    }
    return out;
}

/// Returns the decoded path without query and fragment. Returns std::nullopt if
/// servers could interpret the path differently, for example by resolving dot
/// segments or merging slashes.
std::optional<std::string> unambiguous_path(std::string_view path)
{
    path = path.substr(0, path.find_first_of("?#"));
    auto out = percent_decode(path);
    if (!out || !out->starts_with('/'))
        return std::nullopt;
    const std::string with_slash = *out + '/';
    for (const std::string_view sequence : {"/./", "/../", "\\", ";"})
    {
        if (with_slash.find(sequence) != std::string::npos)
            return std::nullopt;
    }
    return out->find("//") == std::string::npos ? out : std::nullopt;
}

} // namespace

std::optional<service_target> parse_service_target(std::string_view target)
{
    if (!target.starts_with(services_prefix))
        return std::nullopt;
    target.remove_prefix(services_prefix.size());
    const auto end = std::min(target.find_first_of("/?"), target.size());
    if (end == 0)
        return std::nullopt;
    service_target out{std::string(target.substr(0, end)),
                       std::string(target.substr(end))};
    if (!out.path.starts_with('/'))
        out.path.insert(0, 1, '/');
    return out;
}

service_rules::service_rules(const proto::ServiceSpec& spec)
{
    for (const std::string_view it : spec.not_repeatable())
    {
        const auto space = it.find(' ');
        if (space == std::string_view::npos)
            continue;
        rules_.push_back({std::string(it.substr(0, space)),
                          std::string(it.substr(space + 1))});
    }
}

std::optional<bool> service_rules::is_repeatable(std::string_view method,
                                                 std::string_view path) const
{
    if (rules_.empty())
        return true;
    const auto decoded = unambiguous_path(path);
    if (!decoded)
        return std::nullopt;
    return std::ranges::none_of(
        rules_, [&](const rule& it)
        { return it.method == method && decoded->starts_with(it.prefix); });
}

} // namespace tanagertrack::api
