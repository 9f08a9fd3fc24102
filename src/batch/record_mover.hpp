#ifndef TANAGERTRACK_BATCH_RECORD_MOVER_HPP
#define TANAGERTRACK_BATCH_RECORD_MOVER_HPP

#include "batch/job_log.hpp"
#include "batch/text_store.hpp"
#include "common/clock.hpp"
#include "common/periodic_timer.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace tanagertrack::batch
{

/// Copies records that are still needed (items, texts and outcomes of calls) to
/// the end of the log before the store deletes them. All copies for a job are
/// appended before the record with their new locations. A process copies the
/// records of its own jobs; the leader also those of jobs whose runner has
/// departed. One job or call is copied at a time. Not thread-safe: all calls
/// are made on the thread of the io_context.
class record_mover
{
public:
    /// `retention` is the time for which the store keeps records;
    /// `is_responsible_for` returns true if this process copies the records of
    /// a runner's jobs.
    record_mover(
        boost::asio::io_context& context, job_log& jobs, text_store& texts,
        std::chrono::milliseconds retention,
        std::function<bool(const std::string& runner)> is_responsible_for);

    record_mover(const record_mover&) = delete;
    record_mover& operator=(const record_mover&) = delete;

    /// Starts the periodic checks.
    void start();

    /// Number of jobs and call outcomes that were copied.
    std::uint64_t moved() const
    {
        return moved_;
    }

private:
    struct job_move;
    using job_move_ptr = std::shared_ptr<job_move>;

    /// Age of the records of a job or call.
    struct age
    {
        /// Time at which it was first seen here, or last moved.
        common::time_point since;
        bool was_moved = false;

        /// Not copied before this time, after a failure.
        common::time_point not_before;
    };

    using ages = std::map<std::string, age, std::less<>>;

    void check();

    /// Returns true if the records of a job or call have to be copied now.
    /// Records the time at which `id` was first seen in `known_ages`.
    bool is_due(ages& known_ages, const std::string& id,
                std::uint64_t created_ms);
    void prune_ages();

    /// Returns the time before which a copy that failed now is not retried.
    common::time_point retry_time() const;

    // Copying the records of a job.
    void move_job(const state::batch_job& job);
    void copy_part(const job_move_ptr& task);
    void append_part(const job_move_ptr& task, const proto::JobRecord& record);
    void copy_texts(const job_move_ptr& task);
    void write_texts(const job_move_ptr& task);
    void append_locations(const job_move_ptr& task);
    void finish_move(const job_move_ptr& task, std::error_code ec);

    // Copying the outcome of a call.
    void move_call(const std::string& call, std::uint64_t offset);

    job_log& jobs_;
    text_store& texts_;
    std::chrono::milliseconds retention_;
    std::function<bool(const std::string&)> is_responsible_for_;
    common::periodic_timer timer_;
    ages job_ages_;
    ages call_ages_;
    bool moving_ = false;
    std::uint64_t moved_ = 0;
};

} // namespace tanagertrack::batch

#endif
