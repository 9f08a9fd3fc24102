#ifndef TANAGERTRACK_COMMON_CLOCK_HPP
#define TANAGERTRACK_COMMON_CLOCK_HPP

#include <chrono>
#include <cstdint>
#include <functional>

namespace tanagertrack::common
{

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;

/// Returns the current time. Injected so that tests can control it.
using clock_source = std::function<time_point()>;

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
