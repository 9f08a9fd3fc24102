#ifndef TANAGERTRACK_BATCH_RUN_TIME_ESTIMATE_HPP
#define TANAGERTRACK_BATCH_RUN_TIME_ESTIMATE_HPP

#include "common/clock.hpp"

namespace tanagertrack::batch
{

/// Estimates the run time of items from those that have completed. Not
/// thread-safe.
class run_time_estimate
{
public:
    /// Records an item that completed in time. It ran for `run_time` in all its
    /// attempts, and `turnaround` passed since the first one started.
    void record_completion(common::duration run_time,
                           common::duration turnaround);

    /// Returns the expected remaining run time of an item that has run for
    /// `run_time`; zero before any item has completed.
    common::duration time_left(common::duration run_time) const;

    /// Returns the mean time from the first start of an item to its completion,
    /// including the times in which it was preempted for online work.
    common::duration turnaround() const
    {
        return turnaround_;
    }

private:
    // Exponential moving averages; zero before the first completion.
    common::duration run_time_{0};
    common::duration turnaround_{0};
};

} // namespace tanagertrack::batch

#endif
