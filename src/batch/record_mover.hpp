#ifndef TANAGERTRACK_BATCH_RECORD_MOVER_HPP
#define TANAGERTRACK_BATCH_RECORD_MOVER_HPP

#include "batch/job_log.hpp"
#include "batch/text_store.hpp"
#include "common/clock.hpp"

#include <boost/asio/steady_timer.hpp>

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

/// Appends the items, texts and outcomes that are kept again before the store
/// drops their records. Copies of a job's records are complete before their
/// places are told. A process cares for the jobs that it runs; one of them
/// also for those that nobody runs any more. One job at a time. One thread.
class record_mover
{
public:
    /// `retention` is the time for which the store keeps records; `is_mine`
    /// says whether this process cares for the jobs of a runner.
    record_mover(
        boost::asio::io_context& context, job_log& jobs, text_store& texts,
        std::chrono::milliseconds retention,
        std::function<bool(const std::string& runner)> is_responsible_for);

    record_mover(const record_mover&) = delete;
    record_mover& operator=(const record_mover&) = delete;

    /// Starts to look periodically.
    void start();

    /// Jobs and outcomes that were moved.
    std::uint64_t moved() const
    {
        return moved_;
    }

private:
    struct job_move;
    using job_move_ptr = std::shared_ptr<job_move>;

    /// What is known of the age of something that is kept.
    struct age
    {
        /// When it was first seen here, or moved.
        common::time_point since;
        bool was_moved = false;

        /// Not tried before this time, after a failure.
        common::time_point not_before;
    };

    using ages = std::map<std::string, age, std::less<>>;

    void check();
    bool is_due(ages& known_ages, const std::string& id,
                std::uint64_t created_ms);
    void prune_ages();

    /// When to try again what has failed now.
    common::time_point retry_time() const;

    // One job.
    void move_job(const state::batch_job& job);
    void copy_part(const job_move_ptr& task);
    void append_part(const job_move_ptr& task, const proto::JobRecord& record);
    void copy_texts(const job_move_ptr& task);
    void write_texts(const job_move_ptr& task);
    void append_locations(const job_move_ptr& task);
    void finish_move(const job_move_ptr& task, std::error_code ec);

    // One outcome.
    void move_call(const std::string& call, std::uint64_t offset);

    job_log& jobs_;
    text_store& texts_;
    std::chrono::milliseconds retention_;
    std::function<bool(const std::string&)> is_responsible_for_;
    boost::asio::steady_timer timer_;
    ages job_ages_;
    ages call_ages_;
    bool moving_ = false;
    std::uint64_t moved_ = 0;
};

} // namespace tanagertrack::batch

#endif
