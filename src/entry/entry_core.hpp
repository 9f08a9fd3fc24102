#ifndef TANAGERTRACK_ENTRY_ENTRY_CORE_HPP
#define TANAGERTRACK_ENTRY_ENTRY_CORE_HPP

#include "batch/at_most_once_calls.hpp"
#include "batch/checkpointer.hpp"
#include "batch/environment.hpp"
#include "batch/intake.hpp"
#include "batch/job_log.hpp"
#include "batch/membership.hpp"
#include "batch/record_mover.hpp"
#include "batch/result_recorder.hpp"
#include "batch/results.hpp"
#include "batch/retention.hpp"
#include "batch/runner.hpp"
#include "batch/text_store.hpp"
#include "common/metrics.hpp"
#include "config/settings.hpp"
#include "entry/budget_report.hpp"
#include "entry/capacity_learning.hpp"
#include "entry/team_admission.hpp"
#include "fleet/configuration.hpp"
#include "fleet/target_directory.hpp"
#include "http/byte_budget.hpp"
#include "online/environment.hpp"
#include "peers/load_exchange.hpp"
#include "quarantine/prompt_guard.hpp"
#include "store/store_service.hpp"
#include "targets/target_set.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace tanagertrack::entry
{

/// Parts of the core that depend on the deployment.
struct core_parts
{
    store::store_service store;
    targets::target_protocol protocol;

    /// Returns the effect of a target's HTTP error status on a batch item.
    std::function<batch::failure_kind(unsigned)> classify_failure;

    /// Keyed topic of the store for verdicts on prompts that crash targets.
    std::string quarantine_topic;
};

/// All parts of an entry except its edge: targets and their load, online
/// requests, batch jobs, and membership.
///
/// Not thread-safe: all calls are made on the thread of the io_context.
class entry_core
{
public:
    /// `context`, `settings` and `metrics` must outlive the core.
    entry_core(boost::asio::io_context& context,
               const config::settings& settings,
               common::metrics_registry& metrics, core_parts parts);

    entry_core(const entry_core&) = delete;
    entry_core& operator=(const entry_core&) = delete;

    /// Starts to follow jobs, run items, and exchange loads with other entries.
    void start();

    /// Begins a planned stop: hands batch work over to other entries, then
    /// leaves the group of members.
    void stop();

    /// Runs the periodic checks: expires lapsed targets and updates gauges.
    void run_checks(common::time_point now);

    /// Puts a configuration into effect. Returns false, without effect, if its
    /// version is not higher than that of the current one.
    bool apply(const fleet::configuration_ptr& configuration);

    /// Sets the hook that is called with each configuration that comes into
    /// effect.
    void
    on_configured(std::function<void(const fleet::configuration_ptr&)> hook)
    {
        on_configured_ = std::move(hook);
    }

    /// Returns the configuration in effect; nullptr before the first one.
    const fleet::configuration_ptr& configuration() const
    {
        return configuration_;
    }

    /// Directory of targets, to which the edge passes their announcements.
    fleet::target_directory& directory()
    {
        return directory_;
    }

    /// Budget for what the process holds for callers.
    const std::shared_ptr<http::byte_budget>& caller_budget()
    {
        return caller_budget_;
    }

    const targets::target_set& targets() const
    {
        return targets_;
    }

    online::environment& online()
    {
        return online_;
    }

    batch::intake& submissions()
    {
        return submissions_;
    }

    batch::results& results()
    {
        return results_;
    }

    batch::at_most_once_calls& calls()
    {
        return calls_;
    }

    const batch::job_log& jobs() const
    {
        return jobs_;
    }

    const batch::runner& items() const
    {
        return runner_;
    }

    const batch::membership& membership() const
    {
        return membership_;
    }

    const store::store_service& store() const
    {
        return parts_.store;
    }

    boost::asio::io_context& context()
    {
        return context_;
    }

    const config::settings& settings() const
    {
        return settings_;
    }

    common::metrics_registry& metrics()
    {
        return metrics_;
    }

private:
    /// Returns hooks that add and remove the directory's targets in `targets_`.
    fleet::target_directory::hooks make_directory_hooks();
    targets::target_hooks make_target_hooks();
    batch::environment make_batch_environment();
    batch::membership_hooks make_membership_hooks();

    quarantine::guard_hooks make_guard_hooks();
    peers::exchange_hooks make_exchange_hooks();

    /// Returns a listener that adds members that join to the peers of the load
    /// exchange, and removes those that depart.
    batch::job_listener make_member_listener();

    /// Returns the state that is sent to other entries with the load.
    peers::own_state own_state();
    void update_gauges();

    boost::asio::io_context& context_;
    const config::settings& settings_;
    common::metrics_registry& metrics_;
    core_parts parts_;
    std::shared_ptr<http::byte_budget> caller_budget_;
    budget_report budget_report_;
    fleet::configuration_ptr configuration_;
    std::function<void(const fleet::configuration_ptr&)> on_configured_;

    // Targets.
    capacity_learning capacities_;
    targets::target_set targets_;
    fleet::target_directory directory_;
    routing::random_below random_;
    routing::placement placement_;

    // Protection of the targets. The guard is used by the hooks of `targets_`.
    std::string member_id_;
    quarantine::prompt_guard guard_;

    // Online requests.
    team_admission teams_;
    online::online_settings online_settings_;
    online::environment online_;

    // Batch work. The parts are notified of changes to jobs in the order of
    // their construction.
    batch::batch_settings batch_settings_;
    batch::job_log jobs_;
    batch::text_store texts_;
    batch::result_recorder recorder_;
    batch::intake submissions_;
    batch::environment batch_environment_;
    batch::runner runner_;
    batch::results results_;
    batch::at_most_once_calls calls_;
    batch::membership membership_;
    batch::retention retention_;
    batch::checkpointer checkpointer_;
    batch::record_mover record_mover_;
    peers::load_exchange load_exchange_;
};

} // namespace tanagertrack::entry

#endif
