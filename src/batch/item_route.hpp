#ifndef TANAGERTRACK_BATCH_ITEM_ROUTE_HPP
#define TANAGERTRACK_BATCH_ITEM_ROUTE_HPP

#include "fleet/configuration.hpp"
#include "state/job_table.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace tanagertrack::batch
{

/// Service that a batch route gives an item; empty without such a route. The
/// same `number` gives the same service while the route stays as it is.
std::string find_item_service(const fleet::configuration* configuration,
                              std::string_view host, std::string_view path,
                              std::uint64_t number);

/// Failures that an item of a job may have: those that the job's route states,
/// or `otherwise`.
std::uint32_t find_max_failures(const fleet::configuration* configuration,
                                const state::batch_job* job,
                                std::uint32_t default_max_failures);

} // namespace tanagertrack::batch

#endif
