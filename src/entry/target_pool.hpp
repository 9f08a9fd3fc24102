#ifndef TANAGERTRACK_ENTRY_TARGET_POOL_HPP
#define TANAGERTRACK_ENTRY_TARGET_POOL_HPP

#include "config/settings.hpp"
#include "proto/peer.pb.h"
#include "proto/records.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::common
{
class metrics_registry;
} // namespace tanagertrack::common

namespace tanagertrack::entry
{

/// Progress of one attempt. All hooks run on the `peer` thread. Exactly one
/// of the last four is called, and nothing after it; none after a cancel.
struct attempt_hooks
{
    /// The agent handed the work to its target: it may run from here on.
    std::function<void()> on_accepted;
    std::function<void(const proto::WorkText&)> on_text;

    std::function<void(const proto::WorkFinished&)> on_finished;

    /// Includes loss of the connection: `may_have_run` is true unless it is
    /// certain that the target was not given the work.
    std::function<void(const proto::WorkFailed&)> on_failed;
    std::function<void(const proto::WorkPreempted&)> on_preempted;

    /// Certainly not run.
    std::function<void(const proto::WorkRefused&)> on_refused;
};

/// Where an attempt may go.
struct attempt_route
{
    /// Model or service name that the target must serve.
    std::string_view model;

    /// Names of targets that are not to be tried again.
    std::span<const std::string> excluded;
};

/// Identifies an attempt for cancellation; 0 is none.
using attempt_id = std::uint64_t;

/// Result of starting an attempt.
struct started_attempt
{
    /// 0 when no target is available; no hook is called then.
    attempt_id id = 0;

    /// Name of the chosen target.
    std::string target;
};

/// The entry's connections to the agents of its subset of targets, with
/// their load. Runs attempts for online requests and batch items. Lives on
/// the `peer` thread and is called on it only.
class target_pool
{
public:
    target_pool(boost::asio::io_context& context,
                const config::settings& settings,
                common::metrics_registry& metrics);
    ~target_pool();

    target_pool(const target_pool&) = delete;
    target_pool& operator=(const target_pool&) = delete;

    /// Takes a configuration; a version below the current one is ignored.
    /// Connects to new targets of the subset and leaves removed ones when
    /// their attempts have ended.
    void set_config(std::shared_ptr<const proto::FleetConfig> config);

    /// Claims held by this entry, sent to all agents for fencing.
    void set_fences(std::vector<proto::Fence> fences);

    /// Addresses of hosts that the platform's list shows as leaving; targets
    /// on them get no new work.
    void set_leaving_hosts(std::span<const std::string> addresses);

    /// Whether the configuration has the model or service.
    bool knows_model(std::string_view model) const;

    /// Starts an attempt on the target that the routing policy chooses among
    /// those that are up, not leaving and not excluded; for batch work also
    /// with batch credit left.
    started_attempt start(const proto::WorkRequest& request,
                          const attempt_route& route, attempt_hooks hooks);

    /// Ends an attempt; its agent cancels it at the target. No hook is called
    /// afterwards.
    void cancel(attempt_id id);

    /// Stops and restarts the events of an attempt whose caller reads slowly.
    void pause(attempt_id id, bool paused);

    /// Batch items that can be sent now to targets that serve the model.
    std::size_t batch_credit(std::string_view model) const;

    /// Sets a hook that is called when batch credit became available.
    void on_batch_credit(std::function<void()> hook);

    /// Claims set last.
    const std::vector<proto::Fence>& fences() const;

    /// State of all known targets, for operators.
    std::vector<proto::AgentStatus> statuses() const;

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace tanagertrack::entry

#endif
