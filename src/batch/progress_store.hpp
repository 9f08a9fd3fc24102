#ifndef TANAGERTRACK_BATCH_PROGRESS_STORE_HPP
#define TANAGERTRACK_BATCH_PROGRESS_STORE_HPP

#include "batch/item_run.hpp"
#include "batch/job_log.hpp"
#include "batch/text_store.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace tanagertrack::batch
{

/// Progress of an item at one moment, copied so that the item can go on.
struct progress_snapshot
{
    std::string job;
    std::uint32_t item = 0;
    std::uint64_t last_event = 0;
    std::uint32_t failures = 0;
    std::chrono::milliseconds run_time{0};

    /// Text of the events up to the last one.
    proto::ItemText text;
};

/// Copies the progress of an item, which must have received an event.
progress_snapshot capture_progress(const item_run& item,
                                   common::time_point now);

/// Appends the progress of items with their texts, so that another process can
/// resume them. `done` is called when all appends have ended, with one of the
/// errors if there was any.
void write_progress(job_log& jobs, text_store& texts,
                    std::vector<progress_snapshot> snapshots,
                    std::function<void(std::error_code)> done);

/// Reads the progress of an item into it and calls `done`, unless the item was
/// closed meanwhile. An item whose text can't be read starts from its
/// beginning.
void read_progress(text_store& texts, item_run_ptr item,
                   const state::item_progress& progress,
                   std::function<void()> done);

} // namespace tanagertrack::batch

#endif
