#ifndef TANAGERTRACK_BATCH_PROGRESS_RECORDER_HPP
#define TANAGERTRACK_BATCH_PROGRESS_RECORDER_HPP

#include "batch/environment.hpp"
#include "batch/progress_store.hpp"

#include <set>

namespace tanagertrack::batch
{

/// Records while items run what they have reached, so that a process that is
/// lost without warning costs little of their work. One thread.
class progress_recorder
{
public:
    /// All arguments outlive the recorder.
    progress_recorder(job_log& jobs, text_store& texts,
                      const progress_settings& settings);

    progress_recorder(const progress_recorder&) = delete;
    progress_recorder& operator=(const progress_recorder&) = delete;

    /// Records those items that are due; does nothing while the store is away
    /// or still has an earlier append.
    void record_due_items(const std::set<item_run_ptr>& running,
                          common::time_point now);

private:
    bool is_due(const item_run& it, common::time_point now) const;

    job_log& jobs_;
    text_store& texts_;
    const progress_settings& settings_;
    common::time_point last_check_;
    bool writing_ = false;
};

} // namespace tanagertrack::batch

#endif
