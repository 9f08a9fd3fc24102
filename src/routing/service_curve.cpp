#include "routing/service_curve.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace tanagertrack::routing
{

namespace
{

/// Time in which the evidence for the line, and for the common factor, decays
/// by half.
constexpr double line_half_life_s = 30;
constexpr double level_half_life_s = 2;

/// Evidence and variance of the number of requests without which the slope is
/// not fitted.
constexpr double min_fit_weight = 20;
constexpr double min_fit_variance = 0.5;

/// Weight of the assumption that there is no common delay.
constexpr double level_prior = 4;

/// Range of the slope. With the greatest one an idle target is four times as
/// fast as one with six requests.
constexpr double max_slope = 0.5;

/// One measurement changes the sums by at most this factor from the line, as a
/// logarithm, so that a few very long calls do not raise it for all.
constexpr double max_deviation = 1.5;

/// The same for the common factor, so that it follows the majority of the
/// targets, and not a few that have just become slower.
constexpr double max_level_deviation = 0.25;

} // namespace

double service_curve::add(double time_ms, double running, double relative_time,
                          common::time_point now)
{
    const double age =
        weight_ == 0
            ? 0
            : std::max(0.0,
                       std::chrono::duration<double>(now - updated_).count());
    updated_ = now;
    const double line_decay = std::exp2(-age / line_half_life_s);
    const double level_decay = std::exp2(-age / level_half_life_s);
    double corrected = time_ms / relative_time;
    double expected = base_ * (1 + slope_ * running);
    if (weight_ >= 1)
        corrected = std::clamp(corrected, expected * std::exp(-max_deviation),
                               expected * std::exp(max_deviation));
    weight_ = weight_ * line_decay + 1;
    sum_x_ = sum_x_ * line_decay + running;
    sum_y_ = sum_y_ * line_decay + corrected;
    sum_xx_ = sum_xx_ * line_decay + running * running;
    sum_xy_ = sum_xy_ * line_decay + running * corrected;
    fit();

    expected = base_ * (1 + slope_ * running);
    const double log_time = std::log(time_ms / expected);
    const double result = log_time - level_;
    const double residual = log_time - std::log(relative_time) - level_;
    level_weight_ = level_weight_ * level_decay + 1;
    level_ += std::clamp(residual, -max_level_deviation, max_level_deviation) /
              (level_weight_ + level_prior);
    return result;
}

void service_curve::fit()
{
    const double mean_x = sum_x_ / weight_;
    const double mean_y = sum_y_ / weight_;
    const double variance = sum_xx_ / weight_ - mean_x * mean_x;
    if (weight_ >= min_fit_weight && variance >= min_fit_variance)
    {
        const double per_request =
            (sum_xy_ / weight_ - mean_x * mean_y) / variance;
        const double base = mean_y - per_request * mean_x;
        slope_ = base <= 0 ? max_slope
                           : std::clamp(per_request / base, 0.0, max_slope);
    }
    base_ = mean_y / (1 + slope_ * mean_x);
}

} // namespace tanagertrack::routing
