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

/// What an item has reached at one moment; the item may go on meanwhile.
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

/// State of an item that has got at least one event.
progress_snapshot capture_progress(const item_run& it, common::time_point now);

/// Appends how far items have got, with their texts, so that another process
/// goes on from there. `done` is called when the store has it, or can't.
void write_progress(job_log& jobs, text_store& texts,
                    std::vector<progress_snapshot> snapshots,
                    std::function<void(std::error_code)> done);

/// Reads what an item has reached, and calls `done`, unless the item is over
/// then. An item whose text can't be read starts from its beginning.
void read_progress(text_store& texts, item_run_ptr item,
                   const state::item_progress& progress,
                   std::function<void()> done);

} // namespace tanagertrack::batch

#endif
