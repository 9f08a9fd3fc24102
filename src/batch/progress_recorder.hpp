#ifndef TANAGERTRACK_BATCH_PROGRESS_RECORDER_HPP
#define TANAGERTRACK_BATCH_PROGRESS_RECORDER_HPP

#include "batch/environment.hpp"
#include "batch/progress_store.hpp"

#include <set>

namespace tanagertrack::batch
{

/// Records the progress of running items, so that little of their work is lost
/// when a process dies without warning. Not thread-safe: all calls are made on
/// the thread of the io_context.
class progress_recorder
{
public:
    /// All arguments must outlive the recorder.
    progress_recorder(job_log& jobs, text_store& texts,
                      const progress_settings& settings);

    progress_recorder(const progress_recorder&) = delete;
    progress_recorder& operator=(const progress_recorder&) = delete;

    /// Records the items that are due. Does nothing while the store is
    /// unreachable or an earlier append has not ended.
    void record_due_items(const std::set<item_run_ptr>& running,
                          common::time_point now);

private:
    bool is_due(const item_run& item, common::time_point now) const;

    job_log& jobs_;
    text_store& texts_;
    const progress_settings& settings_;
    common::time_point last_check_;
    bool writing_ = false;
};

} // namespace tanagertrack::batch

#endif
