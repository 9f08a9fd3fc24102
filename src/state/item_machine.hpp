#ifndef TANAGERTRACK_STATE_ITEM_MACHINE_HPP
#define TANAGERTRACK_STATE_ITEM_MACHINE_HPP

#include "proto/records.pb.h"
#include "state/partition_hooks.hpp"

#include <cstdint>
#include <memory>

namespace tanagertrack::state
{

/// Progress of one batch item at the holder of its partition.
enum class item_state : std::uint8_t
{
    /// Waits for a target.
    pending,

    /// The intent was handed to the log and not read back.
    intent_pending,

    /// An attempt runs.
    running,

    /// The result was handed to the log and not read back.
    result_unrecorded,

    /// The result was read back, or the item is left to the account of its
    /// cancelled job.
    done
};

/// How an attempt ended.
enum class attempt_end : std::uint8_t
{
    succeeded,

    /// Another attempt would fail the same way.
    failed_for_good,

    /// Failed and may have run.
    failed,

    /// Certainly not run.
    not_run,

    /// Gave its place to online work.
    preempted
};

/// What the holder has to do after an event.
enum class item_action : std::uint8_t
{
    nothing,
    append_intent,
    dispatch,

    /// Put the item back into the queue; an attempt follows with `start`.
    requeue,

    // Append a result with this status.
    record_success,
    record_failure,
    record_unknown,

    /// End the running attempt; nothing is recorded.
    reset_attempt,

    /// Remove the item from the tables.
    remove
};

/// What the machine has to know about an item.
struct item_traits
{
    bool not_repeatable = false;

    /// Whether an intent by this or an earlier holder was recorded before.
    bool has_intent = false;

    /// Attempts after which the item counts as failed, at least 1.
    /// Preempted attempts and those that did not run don't count.
    std::uint32_t max_attempts = 4;

    /// Counted attempts so far.
    std::uint32_t attempts = 0;
};

/// One batch item from its start to its recorded result. An item that may
/// not be repeated is dispatched only after its intent was read back as
/// valid, and again only after an attempt that certainly did not run. Pure;
/// one thread.
class item_machine
{
public:
    explicit item_machine(item_traits traits);
    ~item_machine();

    item_machine(item_machine&&) noexcept;
    item_machine& operator=(item_machine&&) noexcept;

    item_state state() const;

    /// Counted attempts, the running one included.
    std::uint32_t attempts() const;

    /// A target is free for the item.
    item_action start();

    /// The own intent was read back.
    item_action intent_read(intent_verdict verdict);

    /// The running attempt has ended.
    item_action attempt_ended(attempt_end end);

    /// The item's completion was read back, by whomever.
    item_action result_read();

    /// The job's cancel was read back.
    item_action cancel();

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace tanagertrack::state

#endif
