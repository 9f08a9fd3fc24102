#include "routing/target_capacity.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagertrack::routing
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Samples within this time count as one. Requests that run at the same time
/// are slowed together, so that their number does not add certainty.
constexpr auto period_length = milliseconds(250);

/// Weight of one period at most. Otherwise the periods with most requests
/// would decide alone.
constexpr double max_period_weight = 4;

/// The weight of a period halves in this time. Rarely used targets keep their
/// estimate, but fresh evidence replaces it soon.
constexpr double period_half_life_s = 6;

/// Quantile of the periods. Disturbances only lengthen times, so that a value
/// below the median is affected less.
constexpr double speed_quantile = 0.45;

/// Periods without which the speed is unknown, and the standard error of a
/// single period that is assumed at least.
constexpr std::size_t min_periods = 4;
constexpr double min_period_error = 0.08;

/// Time after which the opinion of another entry no longer counts.
constexpr auto hint_lifetime = seconds(30);

/// Standard error that the opinion of another entry counts with.
constexpr double hint_error = 0.05;

/// Decay of the evidence at one number of requests. The load alternates within
/// seconds, so that all numbers occur within this time.
constexpr double level_half_life_s = 15;

/// Evidence without which the times at a number of requests are not compared.
constexpr double min_level_weight = 6;

/// Loss of throughput beyond a knee. The throughput of a target without one
/// grows by a quarter from five to eight requests, so that a small loss is a
/// clear difference.
constexpr double min_knee_loss = 0.04;

double seconds_between(common::time_point from, common::time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double decay(common::time_point from, common::time_point to, double half_life_s)
{
    return std::exp2(-seconds_between(from, to) / half_life_s);
}

} // namespace

target_capacity::target_capacity(std::uint32_t slots)
    : levels_(std::clamp<std::uint32_t>(slots, 1, 64)) // bounds the memory
{
}

void target_capacity::add(const capacity_sample& sample, common::time_point now)
{
    const double weight =
        std::clamp(sample.weight, 0.01, capacity_sample::max_weight);
    if (used_ == 0 || now - periods_[current_].begin >= period_length)
    {
        current_ = used_ == 0 ? 0 : (current_ + 1) % max_periods;
        used_ = std::min(used_ + 1, max_periods);
        periods_[current_] = {now, 0, 0};
    }
    auto& it = periods_[current_];
    it.weight += weight;
    it.sum += weight * sample.log_time;
    add_to_level({sample.log_time, sample.running, weight}, now);
}

void target_capacity::add_to_level(const capacity_sample& sample,
                                   common::time_point now)
{
    const auto n = static_cast<std::size_t>(std::clamp(
        std::lround(sample.running), 1L, static_cast<long>(levels_.size())));
    auto& it = levels_[n - 1];
    const double old = it.weight * decay(it.updated, now, level_half_life_s);
    it.weight = old + sample.weight;
    it.log_time += (sample.log_time - it.log_time) * sample.weight / it.weight;
    it.updated = now;
}

void target_capacity::add_hint(double log_time, std::uint32_t knee,
                               common::time_point now)
{
    hinted_log_time_ = log_time;
    hinted_knee_ = knee;
    hinted_at_ = now;
}

target_capacity::speed
target_capacity::estimate_speed(common::time_point now) const
{
    std::array<std::pair<double, double>, max_periods> means;
    double total = 0;
    double squares = 0;
    for (std::size_t i = 0; i < used_; ++i)
    {
        const auto& it = periods_[i];
        const double weight = std::min(it.weight, max_period_weight) *
                              decay(it.begin, now, period_half_life_s);
        means[i] = {it.sum / it.weight, weight};
        total += weight;
        squares += weight * weight;
    }
    const bool hinted =
        hinted_at_ != common::time_point() && now - hinted_at_ < hint_lifetime;
    if (used_ < min_periods)
        return hinted ? speed{hinted_log_time_, hint_error, min_periods}
                      : speed{};

    const auto end = means.begin() + static_cast<std::ptrdiff_t>(used_);
    const auto quantile = [&](double fraction)
    {
        std::sort(means.begin(), end);
        double sum = 0;
        auto it = means.begin();
        for (; it + 1 != end; ++it)
        {
            sum += it->second;
            if (sum >= fraction * total)
                break;
        }
        return it->first;
    };
    const double value = quantile(speed_quantile);
    for (auto it = means.begin(); it != end; ++it)
        it->first = std::abs(it->first - value);

    // The median deviation of a normal distribution is 0.67 of the standard
    // deviation; a quantile has 1.25 times the error of a mean.
    constexpr double deviation_scale = 1.48;
    constexpr double quantile_scale = 1.25;
    const double deviation =
        std::max(min_period_error, deviation_scale * quantile(0.5));
    const double effective = total * total / squares;
    return {value, quantile_scale * deviation / std::sqrt(effective), used_};
}

std::uint32_t target_capacity::estimate_knee(double slope,
                                             common::time_point now) const
{
    // Evidence at the neighbouring numbers of requests counts half: the number
    // that a measurement belongs to is an average.
    std::vector<std::pair<double, double>> near(levels_.size());
    double total = 0;
    for (std::size_t i = 0; i < levels_.size(); ++i)
    {
        const auto& it = levels_[i];
        const double weight =
            it.weight * decay(it.updated, now, level_half_life_s);
        total += weight;
        const auto end = std::min(i + 2, levels_.size());
        for (std::size_t k = i == 0 ? 0 : i - 1; k < end; ++k)
        {
            const double share = k == i ? weight : weight / 2;
            near[k].first += share;
            near[k].second += share * it.log_time;
        }
    }

    // Throughput with each number of requests, relative to a single one of the
    // median target.
    double best = 0;
    std::size_t best_n = 0;
    double beyond = 0;
    double beyond_weight = 0;
    for (std::size_t n = 1; n <= levels_.size(); ++n)
    {
        const auto [weight, sum] = near[n - 1];
        if (weight < min_level_weight)
            continue;
        const double requests = static_cast<double>(n);
        const double throughput =
            requests / ((1 + slope * requests) * std::exp(sum / weight));
        if (throughput > best)
        {
            best = throughput;
            best_n = n;
            beyond = 0;
            beyond_weight = 0;
            continue;
        }
        beyond += weight * throughput;
        beyond_weight += weight;
    }
    if (beyond_weight >= 2 * min_level_weight &&
        beyond / beyond_weight < best * (1 - min_knee_loss))
        return static_cast<std::uint32_t>(best_n);
    const bool hinted =
        hinted_at_ != common::time_point() && now - hinted_at_ < hint_lifetime;
    return hinted && total < min_level_weight ? hinted_knee_ : 0;
}

} // namespace tanagertrack::routing
