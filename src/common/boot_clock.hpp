#ifndef TANAGERTRACK_COMMON_BOOT_CLOCK_HPP
#define TANAGERTRACK_COMMON_BOOT_CLOCK_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <utility>

namespace tanagertrack::common
{

/// Time since the start of the host. Unlike the steady clock, it also advances
/// while the host is suspended, so that nothing that was known before counts as
/// recent afterwards.
class boot_clock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    using source = std::function<time_point()>;
    static constexpr bool is_steady = true;

    static time_point now();

    /// Replaces the source of the time; an empty one restores the clock of the
    /// operating system. Not thread-safe: called only while no other thread
    /// reads the clock.
    static void set_source(source value)
    {
        time_source = std::move(value);
    }

private:
    static inline source time_source;
};

} // namespace tanagertrack::common

#endif
