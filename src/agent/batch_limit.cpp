#include "agent/batch_limit.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace tanagertrack::agent
{

batch_limit::batch_limit(std::uint32_t maximum, batch_limit_settings settings)
    : settings_(settings), maximum_(maximum), limit_(maximum)
{
    BOOST_ASSERT(maximum >= 1);
}

void batch_limit::set_maximum(std::uint32_t maximum)
{
    BOOST_ASSERT(maximum >= 1);
    // A limit that was not reduced follows the bound upwards.
    const bool reduced = limit_ < maximum_;
    maximum_ = maximum;
    limit_ = reduced ? std::min(limit_, maximum_) : maximum_;
}

void batch_limit::online_first_token(double seconds, common::time_point now)
{
    first_token_.add(seconds, settings_);
    last_online_ = now;
    adjust(now);
}

void batch_limit::step(double seconds, bool online, common::time_point now)
{
    step_.add(seconds, settings_);
    if (online)
        last_online_ = now;
    adjust(now);
}

std::uint32_t batch_limit::current(common::time_point now)
{
    adjust(now);
    return static_cast<std::uint32_t>(std::max(1.0, limit_));
}

void batch_limit::track::add(double value, const batch_limit_settings& settings)
{
    smoothed =
        smoothed == 0 ? value : smoothed + settings.weight * (value - smoothed);
    best = best == 0 ? smoothed
                     : std::min(best * (1 + settings.best_drift), smoothed);
}

bool batch_limit::track::slowed(double ratio) const
{
    return best > 0 && smoothed > ratio * best;
}

void batch_limit::adjust(common::time_point now)
{
    const bool online =
        last_online_ && now - *last_online_ < settings_.online_memory;
    const bool slowed = first_token_.slowed(settings_.slowed_ratio) ||
                        step_.slowed(settings_.slowed_ratio);
    if (online && slowed)
    {
        if (now - last_decrease_ < settings_.decrease_interval)
            return;
        limit_ = std::max(1.0, limit_ * settings_.decrease);
        last_decrease_ = now;
        last_increase_ = now;
    }
    else if (limit_ < maximum_ &&
             now - last_increase_ >= settings_.increase_interval)
    {
        limit_ = std::min(maximum_, limit_ + 1);
        last_increase_ = now;
    }
}

} // namespace tanagertrack::agent
