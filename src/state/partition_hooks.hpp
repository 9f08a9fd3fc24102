#ifndef TANAGERTRACK_STATE_PARTITION_HOOKS_HPP
#define TANAGERTRACK_STATE_PARTITION_HOOKS_HPP

#include "proto/records.pb.h"
#include "state/job.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace tanagertrack::state
{

/// A claim on a partition.
struct claim_info
{
    /// Offset of the claim's record, the fencing token; 0: no claim.
    std::uint64_t offset = 0;

    /// Entry id in the claim.
    std::string holder;

    /// Writer of the claim's record. Only this writer's records are valid
    /// under the claim.
    std::string writer;

    /// Whether the holder gave the partition back. The claim stays current
    /// until the next claim replaces it; no further record of it is valid.
    bool released = false;

    bool operator==(const claim_info&) const = default;
};

/// Why a job_commit made no new job.
enum class commit_refusal : std::uint8_t
{
    /// The job is already accepted with the same content: same job.
    repeated,

    /// The job is already accepted with other content.
    conflict,

    /// The intake's chunks don't cover the items without gap and overlap, the
    /// intake is not known, or the count is 0 or over the limit.
    incomplete,

    /// The job was accepted before and its results are no longer kept.
    forgotten,

    /// The partition has `partition_limits::max_jobs` jobs.
    full
};

/// What an intent in a valid record led to.
enum class intent_verdict : std::uint8_t
{
    /// First intent: the writer may dispatch the work once.
    valid,

    /// An earlier intent exists: the work may have run.
    repeated,

    /// An earlier intent of the call has another content hash.
    conflict,

    /// The item is finished.
    finished,

    /// The item's job is cancelled.
    cancelled,

    /// No such job or item, or neither a job nor a call is named.
    unknown,

    /// The partition has `partition_limits::max_calls` calls.
    full
};

/// Called by `partition_state::apply` for each effect of a valid record, in
/// log order, after the state has changed. Hooks that are not set are left
/// out. A hook must not change the state that calls it.
struct partition_hooks
{
    /// A claim became current; `replaced` was current before (offset 0:
    /// none). A holder that finds itself in `replaced` has lost the partition.
    std::function<void(const claim_info& current, const claim_info& replaced)>
        on_claimed;

    /// The holder gave the partition back.
    std::function<void(const claim_info& current)> on_released;

    /// A job was accepted.
    std::function<void(const job& accepted)> on_job_accepted;

    /// A commit made no job. The job is in `find_job(commit.job_id())` for
    /// `repeated` and `conflict`.
    std::function<void(const proto::JobCommit& commit, commit_refusal reason)>
        on_job_refused;

    /// A job was cancelled; called once for each job.
    std::function<void(const job& cancelled)> on_job_cancelled;

    /// A job or call was forgotten.
    std::function<void(const std::string& id)> on_forgotten;

    /// The first valid completion of an item was read.
    std::function<void(const job& owner, const proto::ItemResult& result)>
        on_item_completed;

    /// An intent was read, with what it led to.
    std::function<void(const proto::Intent& intent, intent_verdict verdict)>
        on_intent;

    /// The first valid outcome of a call was read.
    std::function<void(const proto::Outcome& outcome)> on_outcome;

    /// The last part of a checkpoint was read; a reader may start at
    /// `first_part_offset`.
    std::function<void(std::uint64_t first_part_offset)> on_checkpoint;
};

} // namespace tanagertrack::state

#endif
