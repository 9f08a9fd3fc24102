#include "batch/item_route.hpp"

namespace tanagertrack::batch
{

std::string find_item_service(const fleet::configuration* configuration,
                              std::string_view host, std::string_view path,
                              std::uint64_t number)
{
    if (configuration == nullptr)
        return {};
    const auto* route = configuration->find_route(host, path);
    if (route == nullptr || route->kind != fleet::route_kind::batch)
        return {};

    // Services get items in proportion to their weights.
    std::uint64_t total = 0;
    for (const auto& it : route->services)
        total += it.weight;
    auto drawn = total == 0 ? 0 : number % total;
    for (const auto& it : route->services)
    {
        if (drawn < it.weight)
            return it.service;
        drawn -= it.weight;
    }
    return {};
}

std::uint32_t find_max_failures(const fleet::configuration* configuration,
                                const state::batch_job* job,
                                std::uint32_t otherwise)
{
    if (configuration == nullptr || job == nullptr)
        return otherwise;
    const auto* route = configuration->find_route_named(job->route);
    return route == nullptr ? otherwise : route->max_attempts;
}

} // namespace tanagertrack::batch
