#include "batch/run_time_estimate.hpp"

#include <algorithm>

namespace tanagertrack::batch
{

namespace
{

/// The weight of a new value in the averages is 1 / smoothing.
constexpr int smoothing = 10;

} // namespace

void run_time_estimate::record_completion(common::duration run_time,
                                          common::duration turnaround)
{
    const bool is_first = run_time_ == common::duration(0);
    run_time_ =
        is_first ? run_time : run_time_ + (run_time - run_time_) / smoothing;
    turnaround_ = is_first
                      ? turnaround
                      : turnaround_ + (turnaround - turnaround_) / smoothing;
}

common::duration run_time_estimate::time_left(common::duration run_time) const
{
    return std::max(common::duration(0), run_time_ - run_time);
}

} // namespace tanagertrack::batch
