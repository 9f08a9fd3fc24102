#include "batch/item_route.hpp"

namespace tanagertrack::batch
{

namespace
{

/// Returns the service that a route selects for an item: services are selected
/// in proportion to their weights. Empty if the route has no service.
std::string select_service(const fleet::route& route, std::uint64_t number)
{
    std::uint64_t total_weight = 0;
    for (const auto& it : route.services)
        total_weight += it.weight;
    auto remainder = total_weight == 0 ? 0 : number % total_weight;
    for (const auto& it : route.services)
    {
        if (remainder < it.weight)
            return it.service;
        remainder -= it.weight;
    }
    return {};
}

/// Returns the batch route that runs an item: the one under which its job was
/// accepted, whatever prefixes other routes have. If that route was replaced,
/// for example by the parts into which it was split, the item's path selects
/// one of the batch routes. Returns nullptr if there is neither.
const fleet::route* find_batch_route(const fleet::configuration& configuration,
                                     const job_run& run, std::string_view path)
{
    const auto* of_job = configuration.find_route_named(run.route);
    const bool is_in_effect = of_job != nullptr &&
                              of_job->kind == fleet::route_kind::batch &&
                              of_job->host == run.host;
    return is_in_effect ? of_job
                        : configuration.find_batch_route(run.host, path);
}

} // namespace

item_route find_item_route(const fleet::configuration* configuration,
                           const job_run& run, const item_run& item)
{
    if (!item.data.service().empty())
        return {route_status::found, item.data.service()};
    if (configuration == nullptr ||
        configuration->version() < run.configuration_version)
        return {route_status::unknown};
    const auto* route = find_batch_route(*configuration, run, item.data.path());
    if (route == nullptr)
        return {route_status::removed};
    item_route out{route_status::found};
    out.service = select_service(*route, run.order + item.index);
    out.max_failures = route->max_attempts;
    if (route->expires_after.count() != 0)
        out.expires_after = route->expires_after;
    return out;
}

} // namespace tanagertrack::batch
