#ifndef TANAGERTRACK_BATCH_PENDING_ITEMS_HPP
#define TANAGERTRACK_BATCH_PENDING_ITEMS_HPP

#include "batch/item_run.hpp"
#include "batch/late_items.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace tanagertrack::batch
{

/// Items that wait for a slot, in a queue for each service, so that the items
/// of a service without free slots don't hold up those of other services. Items
/// without a known route wait in a queue of their own. Not thread-safe.
class pending_items
{
public:
    /// Items by their rank, the most urgent one first.
    using queue = std::map<item_rank, item_run_ptr>;

    /// Adds an item, or moves it to the queue of another route.
    void insert(const item_run_ptr& item, item_route route);

    /// Removes an item; has no effect if it does not wait.
    void erase(const item_run& item);

    /// Marks the items as late for which `is_late` returns true.
    template<typename Predicate>
    void mark_late(const Predicate& is_late)
    {
        for (auto& [service, it] : queues_)
            mark_late_items(it, is_late);
        mark_late_items(unrouted_, is_late);
    }

    /// Calls `visit` with each item.
    void for_each(const std::function<void(const item_run_ptr&)>& visit) const;

    /// Returns the most urgent item of a service that may start at `now` and
    /// comes after `after`, if that is not null; nullptr if there is none.
    item_run_ptr find_next(std::string_view service, const item_rank* after,
                           common::time_point now) const;

    /// Queues by service; none is empty.
    const std::map<std::string, queue, std::less<>>& by_service() const
    {
        return queues_;
    }

    /// Items whose route is unknown or removed.
    const queue& unrouted() const
    {
        return unrouted_;
    }

    /// Number of items in all queues.
    std::size_t size() const
    {
        return size_;
    }

    bool empty() const
    {
        return size_ == 0;
    }

private:
    std::map<std::string, queue, std::less<>> queues_;
    queue unrouted_;
    std::size_t size_ = 0;
};

} // namespace tanagertrack::batch

#endif
