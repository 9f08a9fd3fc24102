#include "common/boot_clock.hpp"

#include <ctime>

namespace tanagertrack::common
{

boot_clock::time_point boot_clock::now()
{
    if (time_source)
        return time_source();
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) +
                      std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace tanagertrack::common
