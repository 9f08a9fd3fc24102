#ifndef TANAGERTRACK_BATCH_RUN_TIME_ESTIMATE_HPP
#define TANAGERTRACK_BATCH_RUN_TIME_ESTIMATE_HPP

#include "common/clock.hpp"

namespace tanagertrack::batch
{

/// How long items run, learnt from those that were done. One thread.
class run_time_estimate
{
public:
    /// An item was done in time. It ran for `run_time` in all its attempts,
    /// and `turnaround` passed since the first one began.
    void record_completion(common::duration run_time,
                           common::duration turnaround);

    /// Time for which an item still runs that has run for `run_time`; zero
    /// before any item was done.
    common::duration time_left(common::duration run_time) const;

    /// Time from the start of an item to its end, with the pauses in which
    /// online work has its place.
    common::duration turnaround() const
    {
        return turnaround_;
    }

private:
    // Moving means.
    common::duration run_time_{0};
    common::duration turnaround_{0};
};

} // namespace tanagertrack::batch

#endif
