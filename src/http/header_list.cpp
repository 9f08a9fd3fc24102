#include "http/header_list.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace tanagertrack::http
{

namespace
{

/// Hop-by-hop fields of RFC 9110, section 7.6.1, and the fields that define
/// the framing of a message.
constexpr std::array<std::string_view, 9> hop_by_hop_names{
    "connection", "keep-alive", "proxy-connection",
    "te",         "trailer",    "transfer-encoding",
    "upgrade",    "expect",     "content-length"};

} // namespace

header_list::header_list(std::initializer_list<header> fields) : fields_(fields)
{
}

void header_list::add(std::string_view name, std::string_view value)
{
    fields_.push_back({std::string(name), std::string(value)});
}

void header_list::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

void header_list::remove(std::string_view name)
{
    std::erase_if(fields_, [name](const header& it)
                  { return equals_ignoring_case(it.name, name); });
}

std::string_view header_list::find(std::string_view name) const
{
    const auto it = std::ranges::find_if(
        fields_, [name](const header& field)
        { return equals_ignoring_case(field.name, name); });
    return it == fields_.end() ? std::string_view() : it->value;
}

bool header_list::contains(std::string_view name) const
{
    return std::ranges::any_of(
        fields_, [name](const header& field)
        { return equals_ignoring_case(field.name, name); });
}

bool header_list::has_token(std::string_view name, std::string_view token) const
{
    return std::ranges::any_of(
        fields_,
        [&](const header& field)
        {
            return equals_ignoring_case(field.name, name) &&
                   boost::beast::http::token_list(field.value).exists(token);
        });
}

void header_list::append_to(std::string& out) const
{
    for (const auto& it : fields_)
    {
        out += it.name;
        out += ": ";
        out += it.value;
        out += "\r\n";
    }
}

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return boost::beast::iequals(a, b);
}

bool is_hop_by_hop(std::string_view name)
{
    return std::ranges::any_of(hop_by_hop_names, [name](std::string_view it)
                               { return equals_ignoring_case(it, name); });
}

void copy_end_to_end(const header_list& from, header_list& to)
{
    for (const auto& it : from)
    {
        if (!is_hop_by_hop(it.name) && !from.has_token("Connection", it.name))
            to.add(it.name, it.value);
    }
}

} // namespace tanagertrack::http
