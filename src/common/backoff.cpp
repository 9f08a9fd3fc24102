#include "common/backoff.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace tanagertrack::common
{

backoff::backoff(backoff_settings settings, std::uint64_t seed)
    : settings_(settings), upper_bound_(settings.initial), random_(seed)
{
    BOOST_ASSERT(settings.initial.count() >= 0);
    BOOST_ASSERT(settings.maximum >= settings.initial);
}

std::chrono::milliseconds backoff::next()
{
    const auto min_delay = std::min<std::int64_t>(1, upper_bound_.count());
    std::uniform_int_distribution<std::int64_t> delay(min_delay,
                                                      upper_bound_.count());
    const std::chrono::milliseconds result(delay(random_));
    upper_bound_ = std::min(upper_bound_ * 2, settings_.maximum);
    return result;
}

void backoff::reset()
{
    upper_bound_ = settings_.initial;
}

} // namespace tanagertrack::common
