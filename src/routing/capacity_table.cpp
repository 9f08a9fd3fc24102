#include "routing/capacity_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagertrack::routing
{

namespace
{

using std::chrono::milliseconds;

/// A longer time between two refreshes shows that this entry itself did not
/// run. They are 250 ms apart.
constexpr auto max_refresh_gap = milliseconds(700);

/// Differences within this share, as a logarithm, count as none, so that equal
/// targets are treated equally.
const double dead_band = std::log(1.1);

/// A difference counts if it exceeds this many standard errors.
constexpr double min_errors = 2;

/// Relative times beyond this factor are taken as errors of measurement.
const double max_log_time = std::log(8);

/// Factor between two relative times that is reported as a change, as a
/// logarithm, and the time for which the difference must last.
const double min_change = std::log(1.25);
constexpr auto min_change_time = milliseconds(3000);

/// Standard error, as a logarithm, at which the confidence is 0.
constexpr double no_confidence_error = 0.3;

/// Time for which the queue of targets that refused is remembered. It belongs
/// to the targets' settings, which change rarely.
constexpr auto refusal_lifetime = std::chrono::seconds(120);

/// Age of evidence from other entries that is still of use.
constexpr auto max_news_age = milliseconds(3000);

/// Time between two opinions that are sent. They serve entries that have just
/// started, for which some seconds are enough.
constexpr auto opinion_interval = milliseconds(200);

/// Evidence of one target is sent together if it belongs to numbers of running
/// requests within this distance; otherwise the average would hide the knee.
constexpr double max_running_spread = 1.5;

} // namespace

void capacity_table::add_target(std::uint32_t target, std::string_view service,
                                std::uint32_t slots, std::uint64_t started_ms)
{
    const auto found = targets_.find(target);
    if (found != targets_.end())
    {
        if (found->second.started_ms == started_ms &&
            found->second.slots == slots)
            return;
        remove_target(target);
    }
    auto& state = services_[std::string(service)];
    targets_.try_emplace(target, state, slots, started_ms);
    opinion_order_.push_back(target);
}

void capacity_table::remove_target(std::uint32_t target)
{
    targets_.erase(target);
    std::erase(opinion_order_, target);
    std::erase(changed_, target);
}

void capacity_table::note_stall(common::time_point now)
{
    if (last_refresh_ && now - *last_refresh_ > max_refresh_gap)
        stalled_until_ = now;
}

void capacity_table::add_timing(std::uint32_t target,
                                const target_timing& timing)
{
    const auto found = targets_.find(target);
    const double time_ms =
        std::chrono::duration<double, std::milli>(timing.end - timing.begin)
            .count() /
        timing.units;
    note_stall(timing.end);
    if (found == targets_.end() || time_ms <= 0 ||
        timing.begin < stalled_until_)
        return;
    auto& it = found->second;
    auto& curve = it.service->curves[static_cast<std::size_t>(timing.kind)];
    const double log_time =
        std::clamp(curve.add(time_ms, timing.running, it.estimate.relative_time,
                             timing.end) -
                       it.service->median,
                   -max_log_time, max_log_time);

    // A reported disturbance explains a long time.
    const double slowdown = std::max(1.0, timing.slowdown);
    const double weight = 1 / (slowdown * slowdown);
    it.capacity.add({log_time + it.service->median, timing.running, weight},
                    timing.end);
    auto& unsent = it.unsent;
    if (unsent.weight == 0)
        changed_.push_back(target);
    else if (std::abs(unsent.running - timing.running) > max_running_spread)
        unsent = {};
    const double total = unsent.weight + weight;
    unsent.log_time += (log_time - unsent.log_time) * weight / total;
    unsent.running += (timing.running - unsent.running) * weight / total;
    unsent.weight = total;
    unsent.last = timing.end;
}

void capacity_table::add_refusal(std::uint32_t target, std::uint32_t requests,
                                 common::time_point now)
{
    const auto found = targets_.find(target);
    if (found == targets_.end() || requests < found->second.slots)
        return;
    auto& service = *found->second.service;
    service.queue = requests - found->second.slots;
    service.refused_at = now;
}

void capacity_table::add_news(const capacity_news& news, common::time_point now)
{
    const auto found = targets_.find(news.target);
    if (found == targets_.end() || news.relative_time <= 0 ||
        news.age > max_news_age)
        return;
    auto& it = found->second;
    const double log_time =
        std::clamp(std::log(news.relative_time), -max_log_time, max_log_time) +
        it.service->median;
    if (news.weight == 0)
        return it.capacity.add_hint(log_time, news.knee, now);
    constexpr double percent = 100;
    const double weight =
        std::min(news.weight / percent, capacity_sample::max_weight);
    it.capacity.add({log_time, static_cast<double>(news.running), weight}, now);
}

void capacity_table::refresh(
    common::time_point now,
    const std::function<void(const capacity_change&)>& on_change)
{
    note_stall(now);
    last_refresh_ = now;
    for (auto& [key, it] : targets_)
    {
        it.speed = it.capacity.estimate_speed(now);
        if (it.speed.periods != 0)
            it.service->values.push_back(it.speed.log_time);
    }
    for (auto& [name, it] : services_)
    {
        const auto middle = it.values.begin() +
                            static_cast<std::ptrdiff_t>(it.values.size() / 2);
        if (middle != it.values.end())
            std::nth_element(it.values.begin(), middle, it.values.end());
        it.median = middle == it.values.end() ? 0 : *middle;
        it.values.clear();
    }
    for (auto& [key, it] : targets_)
    {
        update_estimate(it, now);
        if (const auto change = find_change(key, it, now))
            on_change(*change);
    }
}

void capacity_table::update_estimate(target_state& it,
                                     common::time_point now) const
{
    auto& out = it.estimate;
    const double difference = std::clamp(it.speed.log_time - it.service->median,
                                         -max_log_time, max_log_time);
    const bool counts =
        it.speed.periods != 0 &&
        std::abs(difference) > std::max(dead_band, min_errors * it.speed.error);
    out.relative_time = counts ? std::exp(difference) : 1;
    out.confidence =
        it.speed.periods == 0
            ? 0
            : std::clamp(1 - it.speed.error / no_confidence_error, 0.0, 1.0);
    const auto& curve =
        it.service->curves[static_cast<std::size_t>(timing_kind::event)];
    const auto knee = it.capacity.estimate_knee(curve.slope(), now);
    out.knee = knee < it.slots ? knee : 0;
    const auto& service = *it.service;
    const bool is_known = service.refused_at != common::time_point() &&
                          now - service.refused_at < refusal_lifetime;
    out.room = is_known ? it.slots + service.queue : 0;
}

std::optional<capacity_change>
capacity_table::find_change(std::uint32_t key, target_state& it,
                            common::time_point now)
{
    const double current = it.estimate.relative_time;
    if (std::abs(std::log(current / it.reported)) < min_change)
    {
        it.differs_since.reset();
        return std::nullopt;
    }
    if (!it.differs_since)
        it.differs_since = now;
    if (now - *it.differs_since < min_change_time)
        return std::nullopt;
    it.differs_since.reset();
    const double before = std::exchange(it.reported, current);
    return capacity_change{key,
                           before,
                           current,
                           it.speed.error,
                           it.speed.periods,
                           it.estimate.knee};
}

capacity_estimate capacity_table::estimate_of(std::uint32_t target) const
{
    const auto found = targets_.find(target);
    return found == targets_.end() ? capacity_estimate()
                                   : found->second.estimate;
}

std::vector<capacity_news> capacity_table::take_news(std::size_t n,
                                                     common::time_point now)
{
    std::vector<capacity_news> out;
    constexpr double percent = 100;
    while (out.size() < n && !changed_.empty())
    {
        const auto key = changed_.front();
        changed_.pop_front();
        auto& it = targets_.at(key);
        const auto unsent = std::exchange(it.unsent, {});
        const auto weight = static_cast<std::uint32_t>(
            std::clamp(unsent.weight * percent, 1.0, 10 * percent));
        out.push_back(
            {key, std::exp(unsent.log_time), weight,
             static_cast<std::uint32_t>(std::lround(unsent.running)),
             it.estimate.knee,
             std::chrono::duration_cast<milliseconds>(now - unsent.last)});
    }

    if (now - last_opinion_ < opinion_interval)
        return out;
    last_opinion_ = now;
    for (std::size_t i = 0; i < opinion_order_.size() && out.size() < n; ++i)
    {
        last_in_order_ = (last_in_order_ + 1) % opinion_order_.size();
        const auto& it = targets_.at(opinion_order_[last_in_order_]);
        if (it.estimate.relative_time == 1 && it.estimate.knee == 0)
            continue;
        out.push_back({opinion_order_[last_in_order_],
                       it.estimate.relative_time, 0, 0, it.estimate.knee,
                       milliseconds(0)});
        break;
    }
    return out;
}

} // namespace tanagertrack::routing
