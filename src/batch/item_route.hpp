#ifndef TANAGERTRACK_BATCH_ITEM_ROUTE_HPP
#define TANAGERTRACK_BATCH_ITEM_ROUTE_HPP

#include "batch/item_run.hpp"
#include "fleet/configuration.hpp"

namespace tanagertrack::batch
{

/// Returns the route of an item: that of its job, or, if it was replaced, the
/// batch route of the item's path. The same service is selected until the route
/// changes. An item that names its service needs no route. `configuration` may
/// be null.
item_route find_item_route(const fleet::configuration* configuration,
                           const job_run& run, const item_run& item);

} // namespace tanagertrack::batch

#endif
