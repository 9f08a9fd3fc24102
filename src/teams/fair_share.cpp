#include "teams/fair_share.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace tanagertrack::teams
{

namespace
{

/// Bounds on the change of the wait, which is noisy, and on the factor between
/// the divided and the estimated capacity.
constexpr double min_growth = 0.5;
constexpr double max_growth = 2;
constexpr double min_factor = 0.5;
constexpr double max_factor = 1.2;

/// Returns the rate above which demands are cut so that they add up to
/// `capacity`, which is below their sum. `rates` is sorted.
double find_fair_rate(const std::vector<double>& rates, double capacity)
{
    auto left = static_cast<double>(rates.size());
    for (const double rate : rates)
    {
        if (rate * left >= capacity)
            break;
        capacity -= rate;
        --left;
    }
    return left > 0 ? capacity / left : capacity;
}

} // namespace

void fair_share::update(const std::vector<team_demand>& demand, double admitted,
                        common::time_point now)
{
    using seconds = std::chrono::duration<double>;
    const double elapsed = seconds(now - updated_at_).count();
    const double window = seconds(settings_.rate_window).count();
    const double rate = std::max(0.0, admitted - admitted_) / elapsed;
    admitted_per_s_ +=
        (rate - admitted_per_s_) * (1 - std::exp(-elapsed / window));
    admitted_ = admitted;
    updated_at_ = now;

    double total = 0;
    for (const auto& it : demand)
        total += it.per_s;
    estimate_capacity(total, elapsed);
    kept_.clear();
    if (is_active())
        divide(demand);
}

void fair_share::handle_wait(double wait_s, double objective_s)
{
    const double ratio = wait_s / objective_s;
    had_long_wait_ = had_long_wait_ || ratio > 1;
    wait_sum_s_ += wait_s;
    ratio_sum_ += ratio;
    ++wait_count_;
}

void fair_share::estimate_capacity(double total, double elapsed_s)
{
    const double count = std::max(1U, wait_count_);
    const double wait = wait_sum_s_ / count;
    const double ratio = ratio_sum_ / count;
    const bool begins = had_long_wait_ && !is_active();
    had_long_wait_ = false;
    wait_sum_s_ = ratio_sum_ = 0;
    wait_count_ = 0;

    // Requests that are admitted but not served make the wait longer.
    const double growth =
        (wait - std::exchange(last_wait_s_, wait)) / elapsed_s;
    const double served =
        admitted_per_s_ / std::clamp(1 + growth, min_growth, max_growth);
    if (begins)
        served_per_s_ = served;
    else if (!is_active())
        return;
    const double window =
        std::chrono::duration<double>(settings_.capacity_window).count();
    served_per_s_ +=
        (served - served_per_s_) * (1 - std::exp(-elapsed_s / window));
    capacity_ =
        served_per_s_ * std::clamp(1 + settings_.gain * (settings_.aim - ratio),
                                   min_factor, max_factor);
    if (capacity_ > settings_.end_at * total)
        capacity_ = unlimited;
}

void fair_share::divide(const std::vector<team_demand>& demand)
{
    std::map<std::uint32_t, std::vector<double>> rates;
    for (const auto& it : demand)
        rates[it.priority].push_back(it.per_s);
    std::map<std::uint32_t, double> fair_rates;
    double left = capacity_;
    for (auto& [priority, of_priority] : rates)
    {
        double sum = 0;
        for (const double it : of_priority)
            sum += it;
        if (sum > left)
        {
            std::ranges::sort(of_priority);
            fair_rates[priority] = find_fair_rate(of_priority, left);
        }
        left = std::max(0.0, left - sum);
    }
    for (const auto& it : demand)
    {
        const auto fair = fair_rates.find(it.priority);
        if (fair != fair_rates.end() && it.per_s > fair->second)
            kept_[it.team] = fair->second / it.per_s;
    }
}

double fair_share::kept_share(std::uint64_t team) const
{
    const auto found = kept_.find(team);
    return found == kept_.end() ? 1 : found->second;
}

} // namespace tanagertrack::teams
