#ifndef TANAGERTRACK_BATCH_ITEM_ROUTE_HPP
#define TANAGERTRACK_BATCH_ITEM_ROUTE_HPP

#include "fleet/configuration.hpp"
#include "state/job_table.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::batch
{

/// Returns the service that the batch route of `host` and `path` selects for an
/// item; empty if there is no such route. The same `number` selects the same
/// service until the route changes.
std::string find_item_service(const fleet::configuration* configuration,
                              std::string_view host, std::string_view path,
                              std::uint64_t number);

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
