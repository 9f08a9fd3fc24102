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

    // Services are selected in proportion to their weights.
    std::uint64_t total_weight = 0;
    for (const auto& it : route->services)
        total_weight += it.weight;
    auto remainder = total_weight == 0 ? 0 : number % total_weight;
    for (const auto& it : route->services)
    {
        if (remainder < it.weight)
            return it.service;
        remainder -= it.weight;
    }
    return {};
}

std::uint32_t find_max_failures(const fleet::configuration* configuration,
                                const state::batch_job* job,
                                std::uint32_t default_max_failures)
{
    if (configuration == nullptr || job == nullptr)
        return default_max_failures;
    const auto* route = configuration->find_route_named(job->route);
    return route == nullptr ? default_max_failures : route->max_attempts;
}

std::optional<std::chrono::milliseconds>
find_time_to_expiry(const fleet::configuration* configuration,
                    const state::batch_job& job)
{
    const auto* route = configuration == nullptr
                            ? nullptr
                            : configuration->find_route_named(job.route);
    if (route == nullptr || route->expires_after.count() == 0)
        return std::nullopt;
    return route->expires_after - std::chrono::milliseconds(job.due_after_ms);
}

} // namespace tanagertrack::batch
