#ifndef TANAGERTRACK_BATCH_ITEM_INTENTS_HPP
#define TANAGERTRACK_BATCH_ITEM_INTENTS_HPP

#include "batch/item_run.hpp"
#include "batch/job_log.hpp"

namespace tanagertrack::batch
{

/// Returns true if this process may run the item: the item may run more than
/// once, or this process's intent for it was the first one in the log. For an
/// item that must not run more than once, the first call appends the intent and
/// returns false.
bool ensure_intent_granted(job_log& jobs, item_run& item);

/// Handles the result of an intent for the item. Returns true if another
/// process may run the item, or may have run it, so that its outcome is unknown
/// here. `is_own` is true for an intent of this process.
bool apply_intent_result(item_run& item, bool is_own,
                         state::intent_result result);

} // namespace tanagertrack::batch

#endif
