#include "batch/preemption.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::batch
{

bool gives_way_before(const preemption_rank& a, const preemption_rank& b)
{
    return std::pair(a.how, b.events) > std::pair(b.how, a.events);
}

namespace
{

preemption_rank rank_of(const item_run& it)
{
    return {it.rank.how, it.events};
}

} // namespace

item_run_ptr choose_preempted(const std::set<item_run_ptr>& running,
                              const targets::target& where)
{
    item_run_ptr chosen;
    for (const auto& it : running)
    {
        const bool candidate =
            it->attempt->where().get() == &where && it->may_be_taken_back();
        if (candidate &&
            (!chosen || gives_way_before(rank_of(*it), rank_of(*chosen))))
            chosen = it;
    }
    return chosen;
}

std::uint32_t items_to_take_back(const routing::target_load& load,
                                 std::uint32_t others)
{
    if (!is_overfull(load))
        return 0;
    const auto excess = load.total() - load.slots;
    return std::min(excess - std::min(excess, others), load.own_batch);
}

} // namespace tanagertrack::batch
