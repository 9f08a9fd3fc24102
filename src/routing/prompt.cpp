#include "routing/prompt.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace tanagertrack::routing
{

part_key make_part_key(std::string_view id)
{
    return common::hash64(id);
}

prompt make_prompt(std::span<const part_key> parts)
{
    if (parts.empty())
        return {};
    const auto shared =
        parts.first(std::min(parts.size(), max_prompt_parts) - 1);
    return {{shared.begin(), shared.end()}, parts.back()};
}

std::vector<part_key> all_parts(const prompt& value)
{
    auto parts = value.shared;
    if (value.own != 0)
        parts.push_back(value.own);
    return parts;
}

std::string to_string(part_key part)
{
    constexpr std::size_t digits = 16;
    std::array<char, digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(part));
    return text.data();
}

std::string list_parts(std::span<const part_key> parts)
{
    std::string text;
    for (const auto part : parts)
        text += (text.empty() ? "" : ",") + to_string(part);
    return text.empty() ? "-" : text;
}

} // namespace tanagertrack::routing
