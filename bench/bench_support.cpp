#include "bench_support.hpp"

#include <algorithm>
#include <cstdlib>

namespace tanagertrack::bench
{

std::string option(std::span<const std::string> arguments,
                   std::string_view name, std::string_view fallback)
{
    for (std::size_t i = 0; i + 1 < arguments.size(); ++i)
        if (arguments[i] == name)
            return arguments[i + 1];
    return std::string(fallback);
}

double number_option(std::span<const std::string> arguments,
                     std::string_view name, double fallback)
{
    const auto text = option(arguments, name, "");
    return text.empty() ? fallback : std::strtod(text.c_str(), nullptr);
}

double sample_set::quantile(double fraction) const
{
    if (values_.empty())
        return 0;
    auto sorted = values_;
    std::ranges::sort(sorted);
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(fraction * last)];
}

} // namespace tanagertrack::bench
