#include "entry/budget_report.hpp"

#include "common/logging.hpp"
#include "common/metrics.hpp"

#include <chrono>
#include <cstddef>
#include <numeric>

namespace tanagertrack::entry
{

namespace
{

/// Interval of the log line and the metrics.
constexpr auto report_interval = std::chrono::seconds(1);

} // namespace

void budget_report::write(common::time_point now)
{
    if (now < next_)
        return;
    next_ = now + report_interval;
    update_gauges();
    const auto added = count_cuts();
    if (std::accumulate(added.begin(), added.end(), std::uint64_t{0}) != 0)
        log_cuts(added);
}

void budget_report::update_gauges()
{
    for (std::size_t n = 0; n < http::held_kinds; ++n)
    {
        const auto kind = static_cast<http::held_kind>(n);
        metrics_
            .get_gauge("tanagertrack_caller_held_bytes",
                       "bytes held for callers",
                       {{"holder", http::to_string(kind)}})
            .set(static_cast<std::int64_t>(budget_.held_bytes(kind)));
    }
    metrics_
        .get_gauge("tanagertrack_caller_connections",
                   "open connections of callers")
        .set(static_cast<std::int64_t>(budget_.connections()));
}

budget_report::cut_counts budget_report::count_cuts()
{
    cut_counts added{};
    for (std::size_t n = 0; n < http::cut_reasons; ++n)
    {
        const auto reason = static_cast<http::cut_reason>(n);
        added[n] = budget_.cuts(reason) - reported_[n];
        reported_[n] += added[n];
        metrics_
            .get_counter("tanagertrack_callers_cut_total",
                         "requests refused and connections closed because the "
                         "process held too much for its callers",
                         {{"reason", http::to_string(reason)}})
            .add(added[n]);
    }
    return added;
}

void budget_report::log_cuts(const cut_counts& added) const
{
    const auto count = [&added](http::cut_reason reason)
    {
        return added[static_cast<std::size_t>(reason)];
    };
    using http::cut_reason;
    common::log_warning("callers_cut",
                        {{"held_bytes", budget_.held_bytes()},
                         {"connections", budget_.connections()},
                         {"refused_body", count(cut_reason::refused_body)},
                         {"no_progress", count(cut_reason::no_progress)},
                         {"paused", count(cut_reason::paused)},
                         {"unread_answer", count(cut_reason::unread_answer)},
                         {"connections_full", count(cut_reason::connections)}});
}

} // namespace tanagertrack::entry
