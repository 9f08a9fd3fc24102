#ifndef TANAGERTRACK_BATCH_RETENTION_HPP
#define TANAGERTRACK_BATCH_RETENTION_HPP

#include "batch/job_log.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace tanagertrack::batch
{

/// How long jobs and calls are kept in memory.
struct retention_settings
{
    /// Time for jobs that state none, and for keys of calls that may not be
    /// repeated.
    std::chrono::milliseconds jobs{std::chrono::hours(24)};
    std::chrono::milliseconds calls{std::chrono::hours(24)};

    /// Added to each time: clocks of hosts differ, and may be set.
    std::chrono::milliseconds margin{std::chrono::seconds(30)};
    std::chrono::milliseconds interval{std::chrono::seconds(5)};
};

/// Forgets jobs and calls whose time is over. Each process does so by itself:
/// what one has forgotten, another may still know. One thread.
class retention
{
public:
    retention(boost::asio::io_context& context, job_log& jobs,
              retention_settings settings);

    retention(const retention&) = delete;
    retention& operator=(const retention&) = delete;

    /// Starts to look periodically.
    void start();

private:
    void check();

    job_log& jobs_;
    retention_settings settings_;
    boost::asio::steady_timer timer_;
};

} // namespace tanagertrack::batch

#endif
