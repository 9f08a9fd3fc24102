#ifndef TANAGERTRACK_BATCH_PREEMPTION_HPP
#define TANAGERTRACK_BATCH_PREEMPTION_HPP

#include "batch/item_run.hpp"

#include <cstdint>
#include <set>

namespace tanagertrack::batch
{

/// The item under way on a target that gives its place to online work, or
/// none: the least urgent one; among equals the one that has got least far.
item_run_ptr choose_preempted(const std::set<item_run_ptr>& running,
                              const targets::target& where);

/// Own items to take back from a target with more requests than places, of
/// which other processes take `others` back.
std::uint32_t items_to_take_back(const routing::target_load& load,
                                 std::uint32_t others);

} // namespace tanagertrack::batch

#endif
