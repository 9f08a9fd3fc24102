#include "routing/slow_target_detector.hpp"

#include <algorithm>

namespace tanagertrack::routing
{

namespace
{

/// Times below this are not compared: differences are noise of the host.
constexpr double min_median_us = 200;

/// Reports of other targets needed for a comparison.
constexpr std::size_t min_others = 2;

} // namespace

slow_target_detector::slow_target_detector(slow_target_settings settings)
    : settings_(settings)
{
}

void slow_target_detector::set_pool(target_state& state, std::string_view pool)
{
    if (state.pool == pool && !pool.empty())
        return;
    if (auto it = pools_.find(state.pool); it != pools_.end())
    {
        if (--it->second.targets == 0)
            pools_.erase(it);
    }
    state.pool = pool;
    ++pools_[state.pool].targets;
}

void slow_target_detector::report(std::string_view target,
                                  std::string_view pool, target_times times,
                                  common::time_point now)
{
    if (!settings_.enabled)
        return;
    auto it = targets_.find(target);
    if (it == targets_.end())
        it = targets_.emplace(std::string(target), target_state()).first;
    auto& state = it->second;
    set_pool(state, pool);
    state.times = times;

    const double now_ratio = ratio(state);
    if (!state.slow && now_ratio > settings_.slow_ratio &&
        may_avoid_more(state))
    {
        state.slow = true;
        state.share = 0;
        state.last_chosen = now;
        state.pool_requests_at_try = pools_[state.pool].requests;
    }
    else if (state.slow && now_ratio < settings_.normal_ratio)
    {
        state.slow = false;
        state.share = settings_.first_share;
    }
    else if (!state.slow)
        state.share = std::min(1.0, state.share * 2);
}

double
slow_target_detector::median_of_others(const target_state& state,
                                       std::uint32_t target_times::*time) const
{
    std::vector<std::uint32_t> values;
    for (const auto& [name, it] : targets_)
    {
        if (&it != &state && it.pool == state.pool && it.times.*time != 0)
            values.push_back(it.times.*time);
    }
    if (values.size() < min_others)
        return 0;
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double slow_target_detector::ratio(const target_state& state) const
{
    // A request gives one time to first token and many steps. The first is
    // compared only where there are no steps: on a target that is rarely
    // tried it would stay high long after the target is fast again.
    const auto time = state.times.step_us != 0 ? &target_times::step_us
                                               : &target_times::first_token_us;
    const double median = median_of_others(state, time);
    return median >= min_median_us ? state.times.*time / median : 0;
}

bool slow_target_detector::may_avoid_more(const target_state& state) const
{
    std::size_t slow = 0;
    for (const auto& [name, it] : targets_)
        slow += it.slow && it.pool == state.pool ? 1 : 0;
    const auto all = pools_.find(state.pool)->second.targets;
    return static_cast<double>(slow + 1) <=
           settings_.max_slow_share * static_cast<double>(all);
}

void slow_target_detector::remove(std::string_view target)
{
    const auto it = targets_.find(target);
    if (it == targets_.end())
        return;
    if (auto pool = pools_.find(it->second.pool); pool != pools_.end())
    {
        if (--pool->second.targets == 0)
            pools_.erase(pool);
    }
    targets_.erase(it);
}

double slow_target_detector::share(std::string_view target,
                                   common::time_point now) const
{
    const auto it = targets_.find(target);
    if (it == targets_.end())
        return 1;
    const auto& state = it->second;
    if (!state.slow)
        return state.share;

    const auto pool = pools_.find(state.pool);
    const auto requests = pool->second.requests - state.pool_requests_at_try;
    const auto waited = now - state.last_chosen;
    const bool due = waited >= settings_.max_try_interval ||
                     (waited >= settings_.try_interval &&
                      requests >= settings_.requests_per_try);
    return due ? 1 : 0;
}

void slow_target_detector::chosen(std::string_view target,
                                  common::time_point now)
{
    const auto it = targets_.find(target);
    if (it == targets_.end())
        return;
    auto& state = it->second;
    const auto requests = ++pools_[state.pool].requests;
    state.last_chosen = now;
    state.pool_requests_at_try = requests;
}

bool slow_target_detector::is_slow(std::string_view target) const
{
    const auto it = targets_.find(target);
    return it != targets_.end() && it->second.slow;
}

} // namespace tanagertrack::routing
