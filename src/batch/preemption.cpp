#include "batch/preemption.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::batch
{

bool is_preempted_before(const preemption_rank& a, const preemption_rank& b)
{
    return std::pair(a.urgency, b.events) > std::pair(b.urgency, a.events);
}

namespace
{

preemption_rank rank_of(const item_run& item)
{
    return {item.rank.urgency, item.events};
}

} // namespace

item_run_ptr choose_item_to_preempt(const std::set<item_run_ptr>& running,
                                    const targets::target& target)
{
    item_run_ptr chosen;
    for (const auto& it : running)
    {
        const bool candidate =
            it->attempt->destination().get() == &target && it->is_preemptible();
        if (candidate &&
            (!chosen || is_preempted_before(rank_of(*it), rank_of(*chosen))))
            chosen = it;
    }
    return chosen;
}

std::uint32_t count_items_to_preempt(const routing::target_load& load,
                                     std::uint32_t preempted_by_peers)
{
    if (!is_oversubscribed(load))
        return 0;
    const auto excess = load.total() - load.slots;
    return std::min(excess - std::min(excess, preempted_by_peers),
                    load.own_batch);
}

} // namespace tanagertrack::batch
