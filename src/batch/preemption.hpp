#ifndef TANAGERTRACK_BATCH_PREEMPTION_HPP
#define TANAGERTRACK_BATCH_PREEMPTION_HPP

#include "batch/item_run.hpp"

#include <cstdint>
#include <set>

namespace tanagertrack::batch
{

/// Criteria for choosing the item that is preempted for online work.
struct preemption_rank
{
    routing::urgency_key urgency;
    std::uint32_t events = 0;
};

/// Returns true if `a` is preempted before `b`: the less urgent one first; at
/// equal urgency the one with fewer events.
bool is_preempted_before(const preemption_rank& a, const preemption_rank& b);

/// Returns the running item on `target` that is preempted first, or nullptr if
/// none is preemptible.
item_run_ptr choose_item_to_preempt(const std::set<item_run_ptr>& running,
                                    const targets::target& target);

/// Returns true if a target has more requests than slots.
inline bool is_oversubscribed(const routing::target_load& load)
{
    return load.total() > load.slots;
}

/// Returns the number of this process's items to preempt on a target; zero
/// unless it is oversubscribed. Other processes preempt `preempted_by_peers`
/// items there.
std::uint32_t count_items_to_preempt(const routing::target_load& load,
                                     std::uint32_t preempted_by_peers);

} // namespace tanagertrack::batch

#endif
