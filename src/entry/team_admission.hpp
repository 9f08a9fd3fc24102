#ifndef TANAGERTRACK_ENTRY_TEAM_ADMISSION_HPP
#define TANAGERTRACK_ENTRY_TEAM_ADMISSION_HPP

#include "common/clock.hpp"
#include "fleet/configuration.hpp"
#include "online/environment.hpp"
#include "routing/placement.hpp"
#include "teams/fair_share.hpp"
#include "teams/fleet_quota.hpp"
#include "teams/rejection_report.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace tanagertrack::common
{
class metrics_registry;
} // namespace tanagertrack::common

namespace tanagertrack::entry
{

/// Decides which online requests of teams are sent to targets, by the teams'
/// limits and, while capacity is short, by their fair shares. Requests without
/// a team are not limited. Not thread-safe.
class team_admission
{
public:
    /// `member` is the id of this process. `quota_window` is the window in
    /// which a team may send its rate and burst; 0: its burst refills at its
    /// rate. `metrics` must outlive the object.
    team_admission(common::metrics_registry& metrics, const std::string& member,
                   std::chrono::milliseconds quota_window,
                   routing::random_below random);

    team_admission(const team_admission&) = delete;
    team_admission& operator=(const team_admission&) = delete;

    /// Returns the hooks for online requests. They refer to this object.
    online::caller_hooks make_hooks();

    /// Puts the limits and priorities of a configuration into effect.
    void apply(const fleet::configuration_ptr& configuration);

    /// Drops the state of idle teams, and logs rejections when a report is due.
    void run_checks(common::time_point now);

    /// Quota of the teams, which counts requests of all entries.
    teams::fleet_quota& quota()
    {
        return quota_;
    }

private:
    /// Decides by the limit of the request's team.
    std::optional<online::admission_refusal> admit(const online::call& call);

    /// Decides by the fair share of the request's team. `wait` is the estimated
    /// wait of the request.
    online::wait_decision
    share_targets(const online::call& call,
                  std::chrono::duration<double, std::milli> wait);
    void update_fair_share(common::time_point now);
    void report_rejections(common::time_point now);

    std::chrono::milliseconds quota_window_;
    routing::random_below random_;
    fleet::configuration_ptr configuration_;
    teams::fleet_quota quota_;
    teams::fair_share fair_share_;
    std::unordered_map<std::uint64_t, std::uint32_t> priorities_;
    teams::rejection_report rejections_;
};

} // namespace tanagertrack::entry

#endif
