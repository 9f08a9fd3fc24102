#ifndef TANAGERTRACK_ENTRY_BUDGET_REPORT_HPP
#define TANAGERTRACK_ENTRY_BUDGET_REPORT_HPP

#include "common/clock.hpp"
#include "http/byte_budget.hpp"

#include <array>
#include <cstdint>

namespace tanagertrack::common
{
class metrics_registry;
} // namespace tanagertrack::common

namespace tanagertrack::entry
{

/// Reports on the budget for callers: updates its metrics, and logs what was
/// refused and closed. Not thread-safe.
class budget_report
{
public:
    /// `metrics` and `budget` must outlive the object.
    budget_report(common::metrics_registry& metrics,
                  const http::byte_budget& budget)
        : metrics_(metrics), budget_(budget)
    {
    }

    budget_report(const budget_report&) = delete;
    budget_report& operator=(const budget_report&) = delete;

    /// Writes the report if the interval has passed.
    void write(common::time_point now);

private:
    /// Numbers by `http::cut_reason`.
    using cut_counts = std::array<std::uint64_t, http::cut_reasons>;

    void update_gauges();

    /// Adds what was cut since the last report to the counters, and returns it.
    cut_counts count_cuts();
    void log_cuts(const cut_counts& added) const;

    common::metrics_registry& metrics_;
    const http::byte_budget& budget_;
    common::time_point next_;
    cut_counts reported_{};
};

} // namespace tanagertrack::entry

#endif
