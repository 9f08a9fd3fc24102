#include "common/backoff.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace tanagertrack::common
{

backoff::backoff(backoff_settings settings, std::uint64_t seed)
    : settings_(settings), bound_(settings.initial), random_(seed)
{
    BOOST_ASSERT(settings.initial.count() >= 0);
    BOOST_ASSERT(settings.maximum >= settings.initial);
}

std::chrono::milliseconds backoff::next()
{
    const auto least = std::min<std::int64_t>(1, bound_.count());
    std::uniform_int_distribution<std::int64_t> delay(least, bound_.count());
    const std::chrono::milliseconds result(delay(random_));
    bound_ = std::min(bound_ * 2, settings_.maximum);
    return result;
}

void backoff::reset()
{
    bound_ = settings_.initial;
}

} // namespace tanagertrack::common
