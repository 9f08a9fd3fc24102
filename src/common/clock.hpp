#ifndef TANAGERTRACK_COMMON_CLOCK_HPP
#define TANAGERTRACK_COMMON_CLOCK_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <utility>

namespace tanagertrack::common
{

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Returns the current time. Injected so that tests can control it.
using clock_source = std::function<time_point()>;

/// Clock of all measurements and timeouts: the steady clock of the operating
/// system, unless a test has set another source.
class clock
{
public:
    using duration = common::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = common::time_point;
    static constexpr bool is_steady = true;

    static time_point now()
    {
        return time_source ? time_source() : std::chrono::steady_clock::now();
    }

    /// Replaces the source of the time; an empty one restores the steady clock.
    /// The time that it returns must never decrease. Not thread-safe: called
    /// only while no other thread reads the clock.
    static void set_source(clock_source source)
    {
        time_source = std::move(source);
    }

private:
    static inline clock_source time_source;
};

/// Unix time in milliseconds. For information only: clocks of hosts may differ,
/// so no correctness guarantee may depend on it.
inline std::uint64_t unix_time_ms()
{
    using namespace std::chrono;
    const auto now = system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(now).count());
}

} // namespace tanagertrack::common

#endif
