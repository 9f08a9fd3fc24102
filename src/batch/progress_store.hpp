#ifndef TANAGERTRACK_BATCH_PROGRESS_STORE_HPP
#define TANAGERTRACK_BATCH_PROGRESS_STORE_HPP

#include "batch/item_run.hpp"
#include "batch/job_log.hpp"
#include "batch/text_store.hpp"

#include <functional>
#include <vector>

namespace tanagertrack::batch
{

/// Appends how far items have got, with their texts, so that another process
/// goes on from there. `done` is called when the store has it, or can't.
void write_progress(job_log& jobs, text_store& texts,
                    std::vector<item_run_ptr> its, std::function<void()> done);

/// Reads what an item has reached, and calls `done`, unless the item is over
/// then. An item whose text can't be read starts from its beginning.
void read_progress(text_store& texts, item_run_ptr item,
                   const state::item_progress& progress,
                   std::function<void()> done);

} // namespace tanagertrack::batch

#endif
