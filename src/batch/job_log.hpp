#ifndef TANAGERTRACK_BATCH_JOB_LOG_HPP
#define TANAGERTRACK_BATCH_JOB_LOG_HPP

#include "state/job_checkpoint.hpp"
#include "state/job_table.hpp"
#include "store/partition_follower.hpp"
#include "store/partition_writer.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <system_error>
#include <vector>

namespace tanagertrack::batch
{

/// Hooks of an object that follows the log of jobs.
struct job_listener
{
    state::job_table_hooks changes;

    /// Called when all records were read, for the first time and after each
    /// restart from a checkpoint.
    std::function<void()> on_current;

    /// Called when the state was replaced by that of a checkpoint. The hooks in
    /// `changes` are not called for the changes in between.
    std::function<void()> on_loaded;

    /// Called when the store became reachable or unreachable.
    std::function<void(bool)> on_reachable;
};

/// Settings of the log of jobs.
struct job_log_settings
{
    /// Id of this process as a member; unique for each start.
    std::string member;
    store::follower_settings reading;
    store::writer_settings writing;

    /// Maximum bytes of one record of a checkpoint; below the maximum record
    /// size of the store.
    std::size_t max_checkpoint_part_bytes = 64UL * 1024;
};

/// Returns the part of a job that a record holds: the original or a copy.
const proto::JobPart& part_of(const proto::JobRecord& record);

/// Log of jobs in the store: reads its records, folds them into a job_table and
/// appends to it. If the first records have expired, the fold starts from the
/// newest checkpoint. Not thread-safe: all calls are made on the thread of the
/// io_context.
class job_log
{
public:
    job_log(boost::asio::io_context& context,
            const store::store_service& service, job_log_settings settings);

    job_log(const job_log&) = delete;
    job_log& operator=(const job_log&) = delete;

    /// Adds a listener. Must be called before `start`.
    void add_listener(job_listener listener);

    /// Starts to read the records.
    void start();

    /// Stops reading and appending; running calls are dropped.
    void stop();

    const std::string& member() const
    {
        return settings_.member;
    }

    const state::job_table& table() const
    {
        return table_;
    }

    /// Returns true once the end of the log was reached, and false again while
    /// the log is read anew because records have expired.
    bool is_current() const
    {
        return current_;
    }

    /// Returns true if the store answers reads and appends.
    bool reachable() const
    {
        return follower_->reachable() && writer_->reachable();
    }

    /// Time up to which all records are known; std::nullopt if the end of the
    /// log was not reached since the last start.
    std::optional<common::time_point> current_as_of() const
    {
        return follower_->current_as_of();
    }

    /// Appends records together. See `partition_writer::append`.
    store::append_id append(const std::vector<proto::JobRecord>& records,
                            bool waits_for_store,
                            store::partition_writer::handler done);

    /// Appends one record, which waits for the store; a failure is only logged.
    void append(const proto::JobRecord& record);

    /// See `partition_writer::withdraw`.
    bool withdraw(store::append_id id)
    {
        return writer_->withdraw(id);
    }

    /// Calls `handler` as soon as the table reflects all records that were
    /// appended before `time`, or with `log_unavailable`. See
    /// `partition_follower::confirm`.
    void confirm(common::time_point time,
                 std::function<void(std::error_code)> handler);

    /// See `partition_follower::read_soon`.
    void read_soon()
    {
        follower_->read_soon();
    }

    /// Reads the record at an offset from the store. Error `log_unavailable` if
    /// it can't be parsed.
    void read_record(
        std::uint64_t offset,
        std::function<void(std::error_code, const proto::JobRecord&)> handler);

    /// Appends a checkpoint: the whole state, for readers that start after the
    /// records that it was made from have expired.
    void append_checkpoint();

    /// Time at which a record of a checkpoint was last read, or at which this
    /// object was constructed.
    common::time_point last_checkpoint() const
    {
        return last_checkpoint_;
    }

    /// Removes a job whose results need not be kept any more from the table of
    /// this process.
    void forget(const std::string& id)
    {
        table_.forget(id);
    }

    /// Removes a call whose key need not be kept any more from the table of
    /// this process.
    void forget_call(const std::string& id)
    {
        table_.forget_call(id);
    }

    /// Topic and partition of the jobs.
    static store::partition_ref topic_partition()
    {
        return {"jobs", 0};
    }

private:
    state::job_table_hooks make_hooks();
    void apply_records(std::uint64_t offset,
                       std::span<const std::string> records);
    void apply_record(std::uint64_t offset, const proto::JobRecord& record);
    void handle_expired(std::uint64_t first);
    void handle_caught_up();
    void start_from_checkpoint();

    store::store_service service_;
    job_log_settings settings_;
    std::vector<job_listener> listeners_;
    state::job_table table_;
    std::shared_ptr<store::partition_follower> follower_;
    std::shared_ptr<store::partition_writer> writer_;
    bool current_ = false;

    /// Set while the records are searched for a checkpoint: the first offset
    /// that the store keeps.
    std::optional<std::uint64_t> search_start_;
    state::checkpoint_reader checkpoints_;
    common::time_point last_checkpoint_ = common::clock::now();
};

} // namespace tanagertrack::batch

#endif
