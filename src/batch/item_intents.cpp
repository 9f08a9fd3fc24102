#include "batch/item_intents.hpp"

#include <chrono>

namespace tanagertrack::batch
{

using state::intent_result;

bool ensure_intent_granted(job_log& jobs, item_run& item)
{
    if (!item.data.not_repeatable())
        return true;
    if (item.intent != item_intent::none)
        return item.intent == item_intent::granted;
    item.intent = item_intent::requested;
    proto::JobRecord record;
    auto& intent = *record.mutable_item_intent();
    intent.set_job(item.job);
    intent.set_item(item.index);
    intent.set_member(jobs.member());

    // The result arrives when the record is read back.
    jobs.append({record}, true,
                [&jobs](std::error_code, std::uint64_t) { jobs.read_soon(); });
    return false;
}

bool apply_intent_result(item_run& item, bool is_own, intent_result result)
{
    if (result == intent_result::first && is_own)
    {
        item.intent = item_intent::granted;
        return false;
    }
    return item.intent != item_intent::granted &&
           result != intent_result::no_open_item;
}

} // namespace tanagertrack::batch
