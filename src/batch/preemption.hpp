#ifndef TANAGERTRACK_BATCH_PREEMPTION_HPP
#define TANAGERTRACK_BATCH_PREEMPTION_HPP

#include "batch/item_run.hpp"

#include <cstdint>
#include <set>

namespace tanagertrack::batch
{

/// What decides which of several items gives its place to online work.
struct preemption_rank
{
    routing::urgency_key urgency;
    std::uint32_t events = 0;
};

/// Whether an item gives way before another: the less urgent one; among equals
/// the one that has got least far.
bool is_preempted_before(const preemption_rank& a, const preemption_rank& b);

/// The item under way on a target that gives its place to online work, or
/// none.
item_run_ptr choose_item_to_preempt(const std::set<item_run_ptr>& running,
                                    const targets::target& target);

/// Whether a target has more requests than places.
inline bool is_oversubscribed(const routing::target_load& load)
{
    return load.total() > load.slots;
}

/// Own items to take back from a target with more requests than places, of
/// which other processes take `others` back.
std::uint32_t count_items_to_preempt(const routing::target_load& load,
                                     std::uint32_t preempted_by_peers);

} // namespace tanagertrack::batch

#endif
