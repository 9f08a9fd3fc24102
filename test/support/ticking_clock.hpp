#ifndef TANAGERTRACK_TEST_SUPPORT_TICKING_CLOCK_HPP
#define TANAGERTRACK_TEST_SUPPORT_TICKING_CLOCK_HPP

#include "common/clock.hpp"

#include <chrono>

namespace tanagertrack::test
{

/// While it exists, `common::clock` starts at a fixed time and advances only
/// when it is read, by one nanosecond. No two readings are equal, and how long
/// the code takes does not matter. Only one may exist at a time.
class ticking_clock
{
public:
    ticking_clock()
    {
        common::clock::set_source(
            [this] { return now_ += std::chrono::nanoseconds(1); });
    }

    ~ticking_clock()
    {
        common::clock::set_source({});
    }

    ticking_clock(const ticking_clock&) = delete;
    ticking_clock& operator=(const ticking_clock&) = delete;

private:
    /// Later than the steady clock will be during a test, so that a timer that
    /// has not expired at this time is not reported by the operating system.
    common::time_point now_ =
        std::chrono::steady_clock::now() + std::chrono::hours(24);
};

} // namespace tanagertrack::test

#endif
