#include "http/syntax.hpp"

#include "http/header_list.hpp"

#include <algorithm>

namespace tanagertrack::http
{

namespace
{

constexpr unsigned char first_printable = 0x21;
constexpr unsigned char delete_character = 0x7f;

bool is_control(char c)
{
    const auto code = static_cast<unsigned char>(c);
    return code < ' ' || code == delete_character;
}

bool is_token_character(char c)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    const bool alphanumeric = (c >= '0' && c <= '9') ||
                              (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
    return alphanumeric || others.find(c) != others.npos;
}

bool is_target_character(char c)
{
    const auto code = static_cast<unsigned char>(c);
    return code >= first_printable && code != delete_character;
}

} // namespace

bool is_field_name(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, is_token_character);
}

bool is_field_value(std::string_view text)
{
    return std::ranges::none_of(text, [](char c)
                                { return is_control(c) && c != '\t'; });
}

bool is_request_target(std::string_view text)
{
    return text.starts_with('/') &&
           std::ranges::all_of(text, is_target_character);
}

std::string_view bearer_credentials(std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!equals_ignoring_case(authorization.substr(0, scheme.size()), scheme))
        return {};
    authorization.remove_prefix(scheme.size());
    authorization.remove_prefix(
        std::min(authorization.find_first_not_of(' '), authorization.size()));
    return authorization;
}

} // namespace tanagertrack::http
