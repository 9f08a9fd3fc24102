#ifndef TANAGERTRACK_BATCH_RETENTION_HPP
#define TANAGERTRACK_BATCH_RETENTION_HPP

#include "batch/job_log.hpp"
#include "common/periodic_timer.hpp"

#include <chrono>

namespace tanagertrack::batch
{

/// Times for which jobs and calls are kept in memory.
struct retention_settings
{
    /// For jobs that state no time, and for the keys of calls that must not run
    /// more than once.
    std::chrono::milliseconds jobs{std::chrono::hours(24)};
    std::chrono::milliseconds calls{std::chrono::hours(24)};

    /// Added to each time, because the clocks of hosts differ and may be
    /// adjusted.
    std::chrono::milliseconds margin{std::chrono::seconds(30)};

    /// Time between two checks.
    std::chrono::milliseconds interval{std::chrono::seconds(5)};
};

/// Removes jobs and calls whose time has expired from memory. Each process does
/// so by itself: one may still know what another has removed. Not thread-safe:
/// all calls are made on the thread of the io_context.
class retention
{
public:
    retention(boost::asio::io_context& context, job_log& jobs,
              retention_settings settings);

    retention(const retention&) = delete;
    retention& operator=(const retention&) = delete;

    /// Starts the periodic checks.
    void start();

private:
    void check();

    job_log& jobs_;
    retention_settings settings_;
    common::periodic_timer timer_;
};

} // namespace tanagertrack::batch

#endif
