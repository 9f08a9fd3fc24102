#ifndef TANAGERTRACK_BATCH_ITEM_ROUTE_HPP
#define TANAGERTRACK_BATCH_ITEM_ROUTE_HPP

#include "batch/item_run.hpp"
#include "fleet/configuration.hpp"
#include "state/job_table.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace tanagertrack::batch
{

/// Returns the route of an item: the service that the item names, or the one
/// that the route of its job selects, or else, if that route was replaced, the
/// batch route of its path. The same service is selected until the route
/// changes. `configuration` may be null.
item_route find_item_route(const fleet::configuration* configuration,
                           const job_run& run, const item_run& item);

/// Returns the maximum number of failures of an item: that of the job's route,
/// or `default_max_failures` if the job or the route is unknown.
std::uint32_t find_max_failures(const fleet::configuration* configuration,
                                const state::batch_job* job,
                                std::uint32_t default_max_failures);

/// Returns the time from the due time of a job to the time at which its items
/// may be given up; std::nullopt if the job's route is unknown or states none.
std::optional<std::chrono::milliseconds>
find_time_to_expiry(const fleet::configuration* configuration,
                    const state::batch_job& job);

} // namespace tanagertrack::batch

#endif
