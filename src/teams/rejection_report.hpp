#ifndef TANAGERTRACK_TEAMS_REJECTION_REPORT_HPP
#define TANAGERTRACK_TEAMS_REJECTION_REPORT_HPP

#include "common/clock.hpp"
#include "common/result_code.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace tanagertrack::common
{
class metrics_registry;
} // namespace tanagertrack::common

namespace tanagertrack::teams
{

/// Limits of the report.
struct report_settings
{
    /// Time between two log lines for one team and reason.
    std::chrono::seconds interval{10};

    /// Maximum number of teams and reasons with a log line of their own in an
    /// interval; the others are counted together.
    std::size_t max_lines = 20;

    /// Maximum number of teams with series of their own; the others share the
    /// label value "other".
    std::size_t max_labels = 20;
};

/// Counts the requests of teams in metrics, and logs rejections: one line for
/// each team, reason and interval. Not thread-safe.
class rejection_report
{
public:
    rejection_report(common::metrics_registry& metrics,
                     report_settings settings = {});

    /// Counts an admitted request.
    void count_admitted(std::string_view team);

    /// Counts a rejection.
    void count_rejected(std::string_view team, common::result_code reason);

    /// Writes the lines if the interval has passed. `describe` returns the
    /// limit and the current rate of a team's requests.
    struct team_numbers
    {
        double limit_per_s = 0;
        double asked_per_s = 0;
    };
    void write(common::time_point now,
               const std::function<team_numbers(std::string_view)>& describe);

private:
    /// Returns the label of a team.
    std::string_view label(std::string_view team) const;
    void count(std::string_view team, std::string_view result);

    common::metrics_registry& metrics_;
    report_settings settings_;
    common::time_point written_at_;

    /// Rejections in the current interval.
    std::map<std::pair<std::string, common::result_code>, std::uint64_t>
        rejections_;
    std::set<std::string, std::less<>> labelled_;
};

} // namespace tanagertrack::teams

#endif
