#ifndef TANAGERTRACK_BATCH_WAITING_GROUPS_HPP
#define TANAGERTRACK_BATCH_WAITING_GROUPS_HPP

#include "batch/pending_items.hpp"
#include "routing/urgency.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace tanagertrack::batch
{

/// Returns the items that may start at `now`, the most urgent ones first, in at
/// most `max_groups` groups of equal service, job and urgency. Each service for
/// which `has_targets` returns true gets an equal share of the groups; the
/// others are left out.
std::vector<routing::waiting_items>
group_waiting_items(const pending_items& pending, std::size_t max_groups,
                    const std::function<bool(const std::string&)>& has_targets,
                    common::time_point now);

} // namespace tanagertrack::batch

#endif
