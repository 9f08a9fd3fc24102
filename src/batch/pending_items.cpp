#include "batch/pending_items.hpp"

#include <utility>

namespace tanagertrack::batch
{

void pending_items::insert(const item_run_ptr& item, item_route route)
{
    erase(*item);
    item->route = std::move(route);
    const bool is_routed = item->route.status == route_status::found;
    auto& to = is_routed ? queues_[item->route.service] : unrouted_;
    to[item->rank] = item;
    ++size_;
}

void pending_items::erase(const item_run& item)
{
    if (item.route.status != route_status::found)
    {
        size_ -= unrouted_.erase(item.rank);
        return;
    }
    const auto found = queues_.find(item.route.service);
    if (found == queues_.end())
        return;
    size_ -= found->second.erase(item.rank);
    if (found->second.empty())
        queues_.erase(found);
}

void pending_items::for_each(
    const std::function<void(const item_run_ptr&)>& visit) const
{
    for (const auto& [service, it] : queues_)
    {
        for (const auto& [rank, item] : it)
            visit(item);
    }
    for (const auto& [rank, item] : unrouted_)
        visit(item);
}

item_run_ptr pending_items::find_next(std::string_view service,
                                      const item_rank* after,
                                      common::time_point now) const
{
    const auto found = queues_.find(service);
    if (found == queues_.end())
        return nullptr;
    const auto& items = found->second;
    auto it = after != nullptr ? items.upper_bound(*after) : items.begin();
    while (it != items.end() && it->second->not_before > now)
        ++it;
    return it == items.end() ? nullptr : it->second;
}

} // namespace tanagertrack::batch
