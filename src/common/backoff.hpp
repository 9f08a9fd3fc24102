#ifndef TANAGERTRACK_COMMON_BACKOFF_HPP
#define TANAGERTRACK_COMMON_BACKOFF_HPP

#include <chrono>
#include <cstdint>
#include <random>

namespace tanagertrack::common
{

/// Bounds of the delays between attempts.
struct backoff_settings
{
    std::chrono::milliseconds initial{100};
    std::chrono::milliseconds maximum{5000};
};

/// Exponential backoff with full jitter. Not thread-safe.
class backoff
{
public:
    /// The sequence of delays is a function of `seed`.
    backoff(backoff_settings settings, std::uint64_t seed);

    /// Returns the delay before the next attempt, uniformly distributed between
    /// 1 ms and the current upper bound, and doubles the bound up to the
    /// maximum. The result is 0 if the initial bound is 0.
    std::chrono::milliseconds next();

    /// Resets the upper bound to the initial one; called after a success.
    void reset();

private:
    backoff_settings settings_;
    std::chrono::milliseconds upper_bound_;
    std::mt19937_64 random_;
};

} // namespace tanagertrack::common

#endif
