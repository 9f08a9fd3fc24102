#ifndef TANAGERTRACK_BATCH_LATE_ITEMS_HPP
#define TANAGERTRACK_BATCH_LATE_ITEMS_HPP

#include "batch/item_run.hpp"

#include <map>
#include <vector>

namespace tanagertrack::batch
{

/// Marks the items as late for which `is_late` returns true; an item stays late
/// once it is marked. Moves pending items to their new rank. `ItemPtr` points
/// to an item with a member `rank`; `ItemSet` is a range of such pointers.
template<typename ItemPtr, typename ItemSet, typename Predicate>
void mark_late_items(std::map<item_rank, ItemPtr>& pending,
                     const ItemSet& running, const Predicate& is_late)
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
    for (const auto& item : running)
        item->rank.urgency.is_late |= is_late(*item);
}

} // namespace tanagertrack::batch

#endif
