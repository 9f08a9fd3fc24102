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

/// What a part of the batch service is told of the jobs.
struct job_listener
{
    state::job_table_hooks changes;

    /// All records were read for the first time.
    std::function<void()> on_current;

    /// The state was replaced by that of a checkpoint, without any news of
    /// the changes in between.
    std::function<void()> on_loaded;

    /// The store began or ceased to answer.
    std::function<void(bool)> on_reachable;
};

/// Settings of the log of jobs.
struct job_log_settings
{
    /// Unique for each start of a process.
    std::string member;
    store::follower_settings reading;
    store::writer_settings writing;

    /// Bytes of a checkpoint's record, below the largest record of the store.
    std::size_t max_checkpoint_part_bytes = 64UL * 1024;
};

/// Items of a part of a job, from the record in which they are.
const proto::JobPart& part_of(const proto::JobRecord& record);

/// The topic of jobs: follows it, keeps its fold, and appends to it. Where the
/// first records have expired, the fold starts from the newest checkpoint. One
/// thread.
class job_log
{
public:
    job_log(boost::asio::io_context& context,
            const store::store_service& service, job_log_settings settings);

    job_log(const job_log&) = delete;
    job_log& operator=(const job_log&) = delete;

    /// Adds a part that is told of changes. Before `start`.
    void add_listener(job_listener listener);

    /// Starts to follow.
    void start();

    /// Stops; calls under way are dropped.
    void stop();

    const std::string& member() const
    {
        return settings_.member;
    }

    const state::job_table& table() const
    {
        return table_;
    }

    /// Whether all records up to some moment were read.
    bool is_current() const
    {
        return current_;
    }

    /// Whether the store answers reads and appends.
    bool reachable() const
    {
        return follower_->reachable() && writer_->reachable();
    }

    /// Time of the last moment up to which all records are known.
    std::optional<common::time_point> current_as_of() const
    {
        return follower_->current_as_of();
    }

    /// Appends records that belong together. See `partition_writer::append`.
    store::append_id append(const std::vector<proto::JobRecord>& records,
                            bool waits_for_store,
                            store::partition_writer::handler done);

    /// As `append`, for one record that waits for the store.
    void append(const proto::JobRecord& record);

    bool withdraw(store::append_id id)
    {
        return writer_->withdraw(id);
    }

    /// See `partition_follower::confirm`.
    void confirm(std::chrono::milliseconds max_age,
                 std::function<void(std::error_code)> handler)
    {
        follower_->confirm(max_age, std::move(handler));
    }

    /// Reads one record again.
    void read_record(
        std::uint64_t offset,
        std::function<void(std::error_code, const proto::JobRecord&)> handler);

    /// Appends the whole state, for readers that come after the records that
    /// it follows from have expired.
    void append_checkpoint();

    /// When the last record of a checkpoint was read, or this object was made.
    common::time_point last_checkpoint() const
    {
        return last_checkpoint_;
    }

    /// Forgets a job whose results need not be kept any more.
    void forget(const std::string& id)
    {
        table_.forget(id);
    }

    /// Forgets a call that is not asked for again.
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

    /// Set while the records are searched for a checkpoint: first offset that
    /// the store keeps.
    std::optional<std::uint64_t> search_start_;
    state::checkpoint_reader checkpoints_;
    common::time_point last_checkpoint_ = common::clock::now();
};

} // namespace tanagertrack::batch

#endif
