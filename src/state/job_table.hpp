#ifndef TANAGERTRACK_STATE_JOB_TABLE_HPP
#define TANAGERTRACK_STATE_JOB_TABLE_HPP

#include "proto/jobs.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::state
{

/// Location of a record in the topic "texts".
struct text_location
{
    std::uint32_t partition = 0;
    std::uint64_t offset = 0;

    bool operator==(const text_location&) const = default;
};

/// Recorded progress of an open item, from which another process continues it.
struct item_progress
{
    std::uint64_t last_event = 0;

    /// Location of the text up to `last_event`.
    text_location text;

    /// Attempts that the target answered with a failure.
    std::uint32_t failures = 0;

    /// Total run time of all attempts.
    std::chrono::milliseconds run_time{0};
};

/// One item of an accepted job.
struct job_item
{
    /// Hash of the item's id.
    std::uint64_t id_hash = 0;

    /// Prompt tokens plus the maximum number of output tokens.
    std::uint32_t tokens = 0;
    proto::ItemState state = proto::ITEM_OPEN;

    /// Location of the result; valid once the item is not open.
    text_location text;
};

/// An online call that must not run more than once.
struct at_most_once_call
{
    std::string content_hash;

    /// Process and request (a nonce) that hold the intent and may run the call.
    std::string member;
    std::string attempt;

    /// Offset of the record of the outcome; std::nullopt while there is none.
    std::optional<std::uint64_t> outcome_at;

    /// Unix time in ms.
    std::uint64_t created_ms = 0;
};

/// Record that holds consecutive items of a job.
struct job_part
{
    std::uint64_t offset = 0;
    std::uint32_t first_item = 0;
    std::uint32_t item_count = 0;
};

/// An accepted job.
struct batch_job
{
    std::string id;
    std::string route;
    std::string host;
    std::string team;
    std::string content_hash;

    /// Version of the configuration under which the job was submitted; 0 if it
    /// is unknown or the items name their services.
    std::uint64_t configuration_version = 0;

    /// Id of the process that runs the job.
    std::string runner;

    /// Offset of the commit that made the job accepted.
    std::uint64_t accepted_at = 0;

    /// Unix time in ms.
    std::uint64_t created_ms = 0;

    /// Time after `created_ms` at which the job is due; 0: the default of the
    /// process that runs the job.
    std::uint32_t due_after_ms = 0;

    /// Time in ms for which the results stay readable; 0: the default of each
    /// process.
    std::uint64_t keep_ms = 0;
    std::vector<job_item> items;
    std::vector<job_part> parts;

    /// Indexes of the ended items in the order of their ends. The position of
    /// an item in this list is the position of its result.
    std::vector<std::uint32_t> results;

    /// Progress of open items, by index.
    std::map<std::uint32_t, item_progress> progress;

    /// Items that must not run more than once, by index, with the id of the
    /// process that may have run them.
    std::map<std::uint32_t, std::string> intents;

    /// Returns true if a caller of this team may see the job. A job or caller
    /// without a team belongs to a configuration without teams.
    bool is_visible_to(std::string_view caller_team) const
    {
        return team.empty() || caller_team.empty() || team == caller_team;
    }

    /// True if the caller has cancelled the open items.
    bool cancelled = false;

    /// Number of results that were recorded before the cancellation;
    /// std::nullopt if the job is not cancelled, or if its cancellation was
    /// read from a checkpoint of a version that did not store the number.
    std::optional<std::uint32_t> results_before_cancellation;

    /// Returns the number of results that count for the state of the job, which
    /// is final once the job is cancelled: the results of ends that were
    /// recorded later stay readable but don't count.
    std::size_t counted_results() const
    {
        return results_before_cancellation.value_or(
            static_cast<std::uint32_t>(results.size()));
    }

    /// Returns true if items still have to be run.
    bool is_open() const
    {
        return !cancelled && results.size() < items.size();
    }

    /// Returns the index of an item, or std::nullopt for an unknown id.
    std::optional<std::uint32_t> find_item(std::string_view item_id) const;
};

/// A process that runs jobs.
struct batch_member
{
    std::string id;
    std::string host;
    std::string address;
    std::uint16_t port = 0;

    /// True if the process has stopped, or if its host has started another one.
    bool departed = false;
};

/// Result of a commit, which asks for a job to be accepted.
enum class commit_result : std::uint8_t
{
    accepted,

    /// The job was accepted before.
    repeated,

    /// A job with this id was accepted before with other content.
    conflict,

    /// The waiting tokens of the route would exceed the limit.
    over_limit,

    /// Parts of the job are missing.
    incomplete
};

/// Result of an intent to run an item or call that must not run more than once.
enum class intent_result : std::uint8_t
{
    /// It is the first intent: its process may run the item or call once.
    first,

    /// There is an earlier intent: the item or call may have run.
    repeated,

    /// There is an earlier intent for the call with other content.
    conflict,

    /// The item or its job has ended, or does not exist.
    no_open_item
};

/// Hooks that `job_table::apply` calls after the state has changed.
struct job_table_hooks
{
    std::function<void(const proto::JobCommit&, commit_result)> on_commit;

    /// Called when the first end of an item was applied.
    std::function<void(const batch_job&, std::uint32_t item)> on_result;
    std::function<void(const batch_job&)> on_cancelled;

    /// Called when the job was reassigned from the process `from` to another
    /// one.
    std::function<void(const batch_job&, const std::string& from)>
        on_reassigned;

    /// Called when the process has started or departed.
    std::function<void(const batch_member&)> on_member;
    std::function<void(const proto::ItemIntent&, intent_result)> on_item_intent;
    std::function<void(const proto::CallIntent&, intent_result)> on_call_intent;

    /// Called when the outcome of a call was applied, or the call was forgotten
    /// because it did not run.
    std::function<void(const std::string& call)> on_call_completed;

    /// Called when all records that the job refers to were copied to new
    /// locations.
    std::function<void(const batch_job&)> on_moved;
};

/// All batch jobs, folded from the records of the topic "jobs". The state
/// depends on the records only, so that all readers have the same state after
/// the same records. Has no clock of its own. Not thread-safe.
///
/// Rules, applied in the order of the log:
/// - A commit makes a job accepted if no job with its id was accepted before,
///   if the parts of its submission cover its items, and if the waiting tokens
///   of its route plus its own are within the limit in the commit. Otherwise it
///   has no effect.
/// - The tokens of an item are waiting until the item has ended or its job was
///   cancelled.
/// - The first end of an item counts. The position of its result is the number
///   of earlier ends in the job. Ends after the job was cancelled have results
///   too, but don't change the state of the job (`counted_results`).
/// - The first intent of an item or call counts. It is undone only for a call
///   whose own request reports that the call did not run.
/// - A job is reassigned only if the record names the process that runs it.
/// - The start of a process marks the other processes of its host as departed.
///   A process that finds itself departed, because a record of an earlier
///   process was written late, registers its start again.
/// - Of the submissions without a commit, only the latest are kept.
/// - Copies of items and texts, and the records of their locations, change
///   locations only.
/// - Records that can't be parsed, or that refer to unknown jobs, are skipped.
class job_table
{
public:
    explicit job_table(job_table_hooks hooks);

    /// Applies the record at `offset`.
    void apply(std::uint64_t offset, const proto::JobRecord& record);

    /// Clears the state, for use after records were lost before they were read.
    void clear();

    /// Returns the accepted job, or nullptr if there is none.
    const batch_job* find(std::string_view id) const;

    /// Calls `visit` with each job in the order of acceptance.
    void for_each(const std::function<void(const batch_job&)>& visit) const;

    /// Number of jobs in the table.
    std::size_t size() const
    {
        return jobs_.size();
    }

    /// Returns the number of waiting tokens of a team's jobs on a route.
    std::uint64_t waiting_tokens(std::string_view route,
                                 std::string_view team = {}) const;

    /// Returns the process, or nullptr if it is not known.
    const batch_member* find_member(std::string_view id) const;

    /// Calls `visit` with each process that has not departed.
    void for_each_member(
        const std::function<void(const batch_member&)>& visit) const;

    /// Returns the call, or nullptr if there is none.
    const at_most_once_call* find_call(std::string_view id) const;

    /// Calls `visit` with each call, ordered by id.
    void for_each_call(
        const std::function<void(const std::string& id,
                                 const at_most_once_call&)>& visit) const;

    /// Removes a call. Must be called only for calls that are not requested
    /// again.
    void forget_call(const std::string& id);

    /// Removes a job whose results need not be kept any longer. Must be called
    /// only for jobs that no later record refers to.
    void forget(const std::string& id);

private:
    /// Writes the state to a checkpoint and reads it back.
    friend class job_table_serializer;

    /// Parts of a submission without a commit.
    struct submission
    {
        std::vector<job_part> parts;
        std::vector<job_item> items;
    };

    void apply_part(std::uint64_t offset, const proto::JobPart& part);
    void apply_commit(std::uint64_t offset, const proto::JobCommit& commit);
    commit_result evaluate_commit(const proto::JobCommit& commit) const;
    void accept_job(std::uint64_t offset, const proto::JobCommit& commit);
    void apply_results(const proto::ItemResults& results);
    void apply_job_end(const proto::JobEnd& end);
    void apply_reassignment(const proto::JobTaken& taken);
    void apply_progress(const proto::ItemProgress& progress);
    void apply_item_intent(const proto::ItemIntent& intent);

    /// Stores the intent if it is the item's first one.
    intent_result record_item_intent(const proto::ItemIntent& intent);
    void apply_call_intent(const proto::CallIntent& intent);
    void apply_call_outcome(std::uint64_t offset,
                            const proto::CallOutcome& outcome);
    void apply_call_forgotten(const proto::CallForgotten& forgotten);
    void apply_move(const proto::JobMoved& moved);
    void apply_member_start(const proto::MemberStarted& started);
    void apply_member_stop(const proto::MemberStopped& stopped);

    /// Subtracts from the waiting tokens of the job's route and team.
    void release_tokens(const batch_job& job, std::uint64_t tokens);
    batch_job* find_mutable(std::string_view id);

    job_table_hooks hooks_;
    std::map<std::string, batch_job, std::less<>> jobs_;

    /// Ids of the jobs by the offset of their acceptance.
    std::map<std::uint64_t, std::string> accepted_ids_;
    std::map<std::string, submission, std::less<>> submissions_;

    /// Keys of the submissions, oldest first.
    std::deque<std::string> submission_order_;

    /// Waiting tokens by route and team.
    std::map<std::pair<std::string, std::string>, std::uint64_t>
        waiting_tokens_;
    std::map<std::string, batch_member, std::less<>> members_;
    std::map<std::string, at_most_once_call, std::less<>> calls_;
};

} // namespace tanagertrack::state

#endif
