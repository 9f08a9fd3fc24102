#include "routing/prompt.hpp"

#include "common/hash.hpp"

#include <array>
#include <cstdio>

namespace tanagertrack::routing
{

part_key make_part_key(const std::string& id)
{
    return common::hash64(id);
}

std::string to_string(part_key part)
{
    constexpr std::size_t digits = 16;
    std::array<char, digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(part));
    return text.data();
}

std::string list_shared_parts(const prompt& value)
{
    std::string text;
    for (const auto part : value.shared)
        text += (text.empty() ? "" : ",") + to_string(part);
    return text.empty() ? "-" : text;
}

} // namespace tanagertrack::routing
