#ifndef TANAGERTRACK_BATCH_CHECKPOINTER_HPP
#define TANAGERTRACK_BATCH_CHECKPOINTER_HPP

#include "batch/job_log.hpp"
#include "common/clock.hpp"
#include "common/periodic_timer.hpp"

#include <chrono>
#include <cstdint>
#include <functional>

namespace tanagertrack::batch
{

/// Appends checkpoints of the jobs, so that readers that start after the first
/// records have expired get the whole state. Only the leader does so. Not
/// thread-safe: all calls are made on the thread of the io_context.
class checkpointer
{
public:
    /// `retention` is the time for which the store keeps records; `is_leader`
    /// returns true if this process is the one that appends checkpoints.
    checkpointer(boost::asio::io_context& context, job_log& jobs,
                 std::chrono::milliseconds retention,
                 std::function<bool()> is_leader);

    checkpointer(const checkpointer&) = delete;
    checkpointer& operator=(const checkpointer&) = delete;

    /// Starts the periodic checks.
    void start();

private:
    void check();

    job_log& jobs_;

    /// Time between two checkpoints.
    std::chrono::milliseconds interval_;
    std::function<bool()> is_leader_;
    common::periodic_timer timer_;

    /// Time at which this process last appended a checkpoint, which may still
    /// wait for the store.
    common::time_point last_append_;
};

} // namespace tanagertrack::batch

#endif
