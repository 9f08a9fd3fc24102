#ifndef TANAGERTRACK_BATCH_LATE_ITEMS_HPP
#define TANAGERTRACK_BATCH_LATE_ITEMS_HPP

#include "batch/item_run.hpp"

#include <map>
#include <vector>

namespace tanagertrack::batch
{

/// Marks the pending items as late for which `is_late` returns true, and moves
/// them to their new rank; an item stays late once it is marked. `ItemPtr`
/// points to an item with a member `rank`.
template<typename ItemPtr, typename Predicate>
void mark_late_items(std::map<item_rank, ItemPtr>& pending,
                     const Predicate& is_late)
{
    std::vector<ItemPtr> late;
    for (const auto& [rank, item] : pending)
    {
        // Late items come last in the order of urgency.
        if (rank.urgency.is_late)
            break;
        if (is_late(*item))
            late.push_back(item);
    }
    for (const auto& item : late)
    {
        pending.erase(item->rank);
        item->rank.urgency.is_late = true;
        pending[item->rank] = item;
    }
}

/// Marks the running items as late for which `is_late` returns true. `ItemSet`
/// is a range of pointers to items with a member `rank`.
template<typename ItemSet, typename Predicate>
void mark_late_running_items(const ItemSet& running, const Predicate& is_late)
{
    for (const auto& item : running)
        item->rank.urgency.is_late |= is_late(*item);
}

} // namespace tanagertrack::batch

#endif
