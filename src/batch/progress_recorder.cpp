#include "batch/progress_recorder.hpp"

#include <utility>
#include <vector>

namespace tanagertrack::batch
{

progress_recorder::progress_recorder(job_log& jobs, text_store& texts,
                                     const progress_settings& settings)
    : jobs_(jobs), texts_(texts), settings_(settings)
{
}

bool progress_recorder::is_due(const item_run& item,
                               common::time_point now) const
{
    // An item that must not run more than once is never resumed.
    if (!item.last_event || !item.is_preemptible())
        return false;
    const auto growth = item.text.size() - item.recorded_bytes;
    return item.run_time_at(now) - item.recorded_run_time >=
               settings_.max_unrecorded_run &&
           static_cast<double>(growth) >=
               settings_.min_growth * static_cast<double>(item.recorded_bytes);
}

void progress_recorder::record_due_items(const std::set<item_run_ptr>& running,
                                         common::time_point now)
{
    const bool disabled = settings_.interval.count() == 0;
    if (disabled || writing_ || now - last_check_ < settings_.interval ||
        !jobs_.reachable())
        return;
    last_check_ = now;
    std::vector<progress_snapshot> due;
    for (const auto& it : running)
    {
        if (!is_due(*it, now))
            continue;
        it->recorded_run_time = it->run_time_at(now);
        it->recorded_bytes = it->text.size();
        due.push_back(capture_progress(*it, now));
    }
    if (due.empty())
        return;
    writing_ = true;
    write_progress(jobs_, texts_, std::move(due),
                   [this](std::error_code) { writing_ = false; });
}

} // namespace tanagertrack::batch
