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

/// Place of a record in the topic of texts.
struct text_location
{
    std::uint32_t partition = 0;
    std::uint64_t offset = 0;

    bool operator==(const text_location&) const = default;
};

/// What an item has reached, as a process recorded it.
struct item_progress
{
    std::uint64_t last_event = 0;
    text_location text;
    std::uint32_t failures = 0;

    /// Time under way in all attempts.
    std::chrono::milliseconds run_time{0};
};

/// One item of an accepted job.
struct job_item
{
    /// Hash of the item's id.
    std::uint64_t id_hash = 0;
    std::uint32_t tokens = 0;
    proto::ItemState state = proto::ITEM_OPEN;

    /// Where the result is, once the item is not open.
    text_location text;
};

/// An online call that may not be repeated.
struct at_most_once_call
{
    std::string content_hash;

    /// Process and request that may run it.
    std::string member;
    std::string attempt;

    /// Offset of the outcome's record; nothing while there is none.
    std::optional<std::uint64_t> outcome_at;
    std::uint64_t created_ms = 0;
};

/// Records of consecutive items of a job.
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

    /// Process that runs the job.
    std::string runner;

    /// Offset of the record that made the job accepted.
    std::uint64_t accepted_at = 0;
    std::uint64_t created_ms = 0;
    std::uint32_t due_after_ms = 0;

    /// Time for which the results stay readable.
    std::uint64_t keep_ms = 0;
    std::vector<job_item> items;
    std::vector<job_part> parts;

    /// Items in the order in which they ended: a result's position.
    std::vector<std::uint32_t> results;
    std::map<std::uint32_t, item_progress> progress;

    /// Processes that may have run an item that may not be repeated.
    std::map<std::uint32_t, std::string> intents;

    /// The caller does not want the open items any more.
    bool cancelled = false;

    /// Whether items are still to be run.
    bool is_open() const
    {
        return !cancelled && results.size() < items.size();
    }

    /// Index of an item; nothing for an unknown id.
    std::optional<std::uint32_t> find_item(std::string_view item_id) const;
};

/// A process that runs jobs.
struct batch_member
{
    std::string id;
    std::string host;
    std::string address;
    std::uint16_t port = 0;

    /// It stopped, or its host started another one.
    bool gone = false;
};

/// What became of a request to accept a job.
enum class commit_result : std::uint8_t
{
    accepted,

    /// The job was accepted before.
    repeated,

    /// A job of this id was accepted before with other content.
    conflict,

    /// Too many tokens of the route wait.
    over_limit,

    /// Parts are missing.
    incomplete
};

/// What became of an intent to run something that may not be repeated.
enum class intent_result : std::uint8_t
{
    /// It is the first one: its process may run the work, once.
    first,

    /// There is an earlier one: the work may have run.
    repeated,

    /// The call's earlier intent has another content.
    conflict,

    /// The item has ended, or its job has, or there is none.
    void_item
};

/// Told by `job_table::apply` after the state has changed.
struct job_table_hooks
{
    std::function<void(const proto::JobCommit&, commit_result)> on_commit;

    /// The first end of an item was read.
    std::function<void(const batch_job&, std::uint32_t item)> on_result;
    std::function<void(const batch_job&)> on_cancelled;

    /// Another process runs the job now.
    std::function<void(const batch_job&, const std::string& from)>
        on_reassigned;
    std::function<void(const batch_member&)> on_member;
    std::function<void(const proto::ItemIntent&, intent_result)> on_item_intent;
    std::function<void(const proto::CallIntent&, intent_result)> on_call_intent;

    /// The outcome of a call was read, or that it did not run.
    std::function<void(const std::string& call)> on_call_completed;

    /// All that is kept of a job has new places.
    std::function<void(const batch_job&)> on_moved;
};

/// All batch jobs: the fold of the topic "jobs". A function of the records
/// alone, so that all readers agree after the same prefix. Pure; one thread.
///
/// Rules, in the order of the log:
/// - A commit makes a job accepted if no job of its id was, if its intake's
///   parts cover its items, and if the waiting tokens of its route and its own
///   are within the limit that it states. Otherwise it has no effect.
/// - Tokens of an item wait until the item has ended or its job was ended.
/// - The first end of an item counts; its position is the number of ends of
///   the job before it. Ends after the job's own end count too.
/// - The first intent of an item or call counts; it is never undone but for a
///   call that its own request reports as not run.
/// - A job is taken only from the process that runs it.
/// - A start of a process makes others of its host gone. A process that finds
///   itself gone, by a late write of an earlier one, starts again.
/// - Of the submissions without a commit, the last ones are kept.
/// - Copies of items and texts, and the records that tell their places, change
///   nothing but places.
/// - Records that can't be read, or that speak of unknown jobs, are skipped.
class job_table
{
public:
    explicit job_table(job_table_hooks hooks);

    /// Applies the record at `offset`.
    void apply(std::uint64_t offset, const proto::JobRecord& record);

    /// Drops everything: records were lost before they were read.
    void clear();

    /// Accepted job; null if there is none.
    const batch_job* find(std::string_view id) const;

    /// Calls `visit` with each job, in the order in which they were accepted.
    void for_each(const std::function<void(const batch_job&)>& visit) const;

    /// Jobs that are kept.
    std::size_t size() const
    {
        return jobs_.size();
    }

    /// Tokens of a route's items that wait.
    std::uint64_t waiting_tokens(std::string_view route) const;

    /// Process of an id; null if it is not known.
    const batch_member* find_member(std::string_view id) const;

    /// Calls `visit` with each process that is not gone.
    void for_each_member(
        const std::function<void(const batch_member&)>& visit) const;

    /// Call of an id; null if there is none.
    const at_most_once_call* find_call(std::string_view id) const;

    /// Calls `visit` with each call.
    void for_each_call(
        const std::function<void(const std::string& id,
                                 const at_most_once_call&)>& visit) const;

    /// Forgets a call. Only to be called for one that is not asked for again.
    void forget_call(const std::string& id);

    /// Forgets a job whose results need not be kept any more. Only to be
    /// called for jobs that no record will speak of.
    void forget(const std::string& id);

private:
    /// Saves and loads the state.
    friend class job_table_saver;

    /// Parts of a submission that is not accepted.
    struct intake
    {
        std::vector<job_part> parts;
        std::vector<job_item> items;
    };

    void apply_part(std::uint64_t offset, const proto::JobPart& part);
    void apply_commit(std::uint64_t offset, const proto::JobCommit& commit);
    commit_result judge(const proto::JobCommit& commit) const;
    void accept(std::uint64_t offset, const proto::JobCommit& commit);
    void apply_results(const proto::ItemResults& results);
    void apply_end(const proto::JobEnd& end);
    void apply_taken(const proto::JobTaken& taken);
    void apply_progress(const proto::ItemProgress& progress);
    void apply_item_intent(const proto::ItemIntent& intent);
    intent_result judge_item_intent(const proto::ItemIntent& intent);
    void apply_call_intent(const proto::CallIntent& intent);
    void apply_call_outcome(std::uint64_t offset,
                            const proto::CallOutcome& outcome);
    void apply_call_forgotten(const proto::CallForgotten& forgotten);
    void apply_moved(const proto::JobMoved& moved);
    void apply_started(const proto::MemberStarted& started);
    void apply_stopped(const proto::MemberStopped& stopped);
    void release_tokens(const batch_job& job, std::uint64_t tokens);
    batch_job* find_mutable(std::string_view id);

    job_table_hooks hooks_;
    std::map<std::string, batch_job, std::less<>> jobs_;

    /// Ids by the offset of acceptance.
    std::map<std::uint64_t, std::string> accepted_;
    std::map<std::string, intake, std::less<>> intakes_;

    /// Keys of the intakes, oldest first.
    std::deque<std::string> intake_order_;
    std::map<std::string, std::uint64_t, std::less<>> waiting_;
    std::map<std::string, batch_member, std::less<>> members_;
    std::map<std::string, at_most_once_call, std::less<>> calls_;
};

} // namespace tanagertrack::state

#endif
