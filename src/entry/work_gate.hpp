#ifndef TANAGERTRACK_ENTRY_WORK_GATE_HPP
#define TANAGERTRACK_ENTRY_WORK_GATE_HPP

#include "proto/peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace tanagertrack::common
{
class duty_thread;
} // namespace tanagertrack::common

namespace tanagertrack::entry
{

class target_pool;

/// No target could take the work now; it was not started.
struct no_target_now
{
};

/// How an attempt ended.
using attempt_outcome =
    std::variant<no_target_now, proto::WorkFinished, proto::WorkFailed,
                 proto::WorkPreempted, proto::WorkRefused>;

/// End of an attempt.
struct attempt_end
{
    attempt_outcome outcome;

    /// Target that was chosen; empty for `no_target_now`.
    std::string target;

    /// Batch credit that the model has now.
    std::size_t credit = 0;
};

/// What an attempt needs.
struct attempt_start
{
    proto::WorkRequest request;

    /// Model or service.
    std::string model;

    /// Targets that failed before; tried again only if there is no other.
    std::vector<std::string> excluded;
};

/// The target pool as seen from the batch thread: all calls and handlers are
/// on that thread. Hooks, so that tests can put something else in.
struct work_gate
{
    /// Identifies an attempt; never 0.
    using ticket = std::uint64_t;

    /// Starts an attempt; `ended` is called once unless it is cancelled.
    std::function<ticket(attempt_start start,
                         std::function<void(attempt_end)> ended)>
        start;

    /// Cancels an attempt. `ended` of the start is not called any more;
    /// `cancelled` is called when the attempt is cancelled or had ended.
    std::function<void(ticket attempt, std::function<void()> cancelled)> cancel;

    /// Asks for the batch credit of a model.
    std::function<void(std::string model, std::function<void(std::size_t)>)>
        credit;

    /// Sets a hook that is called when batch credit may have become
    /// available. Call once, before the first attempt.
    std::function<void(std::function<void()>)> on_credit;
};

/// Makes a gate to a pool that lives on `peer_thread`. Pool and threads
/// outlive all copies of the gate and the attempts in progress.
work_gate make_pool_gate(target_pool& pool, common::duty_thread& peer_thread,
                         common::duty_thread& caller_thread);

} // namespace tanagertrack::entry

#endif
