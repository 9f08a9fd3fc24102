#include "entry/capacity_learning.hpp"

#include "common/clock.hpp"
#include "common/logging.hpp"
#include "common/metrics.hpp"
#include "targets/target.hpp"
#include "targets/target_hooks.hpp"
#include "targets/target_set.hpp"

#include <chrono>
#include <cmath>
#include <string_view>

namespace tanagertrack::entry
{

namespace
{

/// Interval at which the capacities of targets are computed.
constexpr auto refresh_interval = std::chrono::milliseconds(250);

/// Maximum number of targets with metrics of their capacity, the first ones by
/// id.
constexpr std::size_t max_gauges = 200;

} // namespace

capacity_learning::capacity_learning(boost::asio::io_context& context,
                                     common::metrics_registry& metrics,
                                     targets::target_set& targets, bool enabled)
    : metrics_(metrics), targets_(targets), enabled_(enabled),
      timer_(context, refresh_interval, [this] { refresh(); })
{
}

void capacity_learning::start()
{
    if (enabled_)
        timer_.start();
}

void capacity_learning::handle_attempt_end(
    const targets::target& target, const targets::ended_attempt& attempt)
{
    if (!enabled_ || !attempt.head_received ||
        attempt.result != targets::attempt_result::not_run)
        return;
    const auto& reported = target.load.reported;
    capacities_.add_refusal(target.key(), reported.running + reported.waiting,
                            common::clock::now());
}

void capacity_learning::handle_timing(const targets::target& target,
                                      const routing::target_timing& timing)
{
    if (enabled_)
        capacities_.add_timing(target.key(), timing);
}

void capacity_learning::remove_target(const targets::target& target)
{
    capacities_.remove_target(target.key());
}

std::vector<routing::capacity_news> capacity_learning::take_news(std::size_t n)
{
    if (!enabled_)
        return {};
    return capacities_.take_news(n, common::clock::now());
}

void capacity_learning::add_news(const routing::capacity_news& news)
{
    if (enabled_)
        capacities_.add_news(news, common::clock::now());
}

void capacity_learning::update_gauges()
{
    if (!enabled_)
        return;
    std::size_t n = 0;
    targets_.for_each(
        [&](const targets::target& it)
        {
            if (++n <= max_gauges)
                update_gauges_of(it);
        });
}

void capacity_learning::refresh()
{
    targets_.for_each(
        [this](targets::target& it)
        {
            capacities_.add_target(it.key(), it.announced().services.front(),
                                   it.load.slots, it.announced().started_ms);
        });
    capacities_.refresh(common::clock::now(),
                        [this](const routing::capacity_change& change)
                        { log_change(change); });
    targets_.for_each(
        [this](targets::target& it)
        { it.load.capacity = capacities_.estimate_of(it.key()); });
}

void capacity_learning::log_change(const routing::capacity_change& change) const
{
    targets_.for_each(
        [&](const targets::target& it)
        {
            if (it.key() == change.target)
                common::log_info("target_speed_changed",
                                 {{"target", it.id()},
                                  {"relative_time", change.after},
                                  {"before", change.before},
                                  {"error", change.error},
                                  {"periods", change.periods},
                                  {"knee", change.knee}});
        });
}

void capacity_learning::update_gauges_of(const targets::target& target)
{
    const auto set =
        [&](std::string_view name, std::string_view help, double value)
    {
        metrics_.get_gauge(name, help, {{"target", target.id()}})
            .set(std::llround(value));
    };
    const auto& capacity = target.load.capacity;
    constexpr double permille = 1000;
    constexpr double percent = 100;
    set("tanagertrack_target_relative_time_permille",
        "time of the target's work; 1000: as the median target",
        capacity.relative_time * permille);
    set("tanagertrack_target_knee",
        "requests from which throughput no longer grows; 0: unknown",
        capacity.knee);
    set("tanagertrack_target_confidence_percent",
        "confidence in the relative time", capacity.confidence * percent);
}

} // namespace tanagertrack::entry
