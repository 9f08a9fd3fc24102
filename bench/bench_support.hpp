#ifndef TANAGERTRACK_BENCH_BENCH_SUPPORT_HPP
#define TANAGERTRACK_BENCH_BENCH_SUPPORT_HPP

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::bench
{

/// Value of the option `name` (as "--rate"), or `fallback`.
std::string option(std::span<const std::string> arguments,
                   std::string_view name, std::string_view fallback);

/// As `option`, as a number.
double number_option(std::span<const std::string> arguments,
                     std::string_view name, double fallback);

/// Durations in milliseconds with their quantiles.
class sample_set
{
public:
    void add(double milliseconds)
    {
        values_.push_back(milliseconds);
    }

    std::size_t count() const
    {
        return values_.size();
    }

    /// Value at `fraction` (0 to 1); 0 without samples.
    double quantile(double fraction) const;

private:
    std::vector<double> values_;
};

} // namespace tanagertrack::bench

#endif
