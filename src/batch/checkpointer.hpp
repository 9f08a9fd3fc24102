#ifndef TANAGERTRACK_BATCH_CHECKPOINTER_HPP
#define TANAGERTRACK_BATCH_CHECKPOINTER_HPP

#include "batch/job_log.hpp"
#include "common/clock.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>

namespace tanagertrack::batch
{

/// Appends checkpoints of the jobs, so that readers that start after the first
/// records have expired know the whole state. One process at a time does so.
/// One thread.
class checkpointer
{
public:
    /// `retention` is the time for which the store keeps records; `is_leader`
    /// says whether it is this process's turn.
    checkpointer(boost::asio::io_context& context, job_log& jobs,
                 std::chrono::milliseconds retention,
                 std::function<bool()> is_leader);

    checkpointer(const checkpointer&) = delete;
    checkpointer& operator=(const checkpointer&) = delete;

    /// Starts to look periodically.
    void start();

private:
    void check();

    job_log& jobs_;

    /// Time between two checkpoints.
    std::chrono::milliseconds interval_;
    std::function<bool()> is_leader_;
    boost::asio::steady_timer timer_;

    /// When this process last appended one, which may still wait for the store.
    common::time_point last_append_;
};

} // namespace tanagertrack::batch

#endif
