#ifndef TANAGERTRACK_BATCH_ITEM_INTENTS_HPP
#define TANAGERTRACK_BATCH_ITEM_INTENTS_HPP

#include "batch/item_run.hpp"
#include "batch/job_log.hpp"

namespace tanagertrack::batch
{

/// Whether an item may run as far as its repeatability goes. An item that may
/// not be repeated needs the first intent in the log; the first call asks for
/// it.
bool ensure_intent_granted(job_log& jobs, item_run& item);

/// Takes the log's verdict on an intent. True: another process may run the
/// item, or may have run it, so that its end is unknown here.
bool apply_intent_result(item_run& item, bool is_own,
                         state::intent_result result);

} // namespace tanagertrack::batch

#endif
