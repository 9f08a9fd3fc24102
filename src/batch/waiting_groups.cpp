#include "batch/waiting_groups.hpp"

#include <algorithm>
#include <string_view>

namespace tanagertrack::batch
{

namespace
{

/// Adds the waiting items of a service to `groups`, which gets at most
/// `max_groups` in total.
void add_groups(std::vector<routing::waiting_items>& groups,
                const std::string& service, const pending_items::queue& items,
                std::size_t max_groups, common::time_point now)
{
    const auto first = groups.size();
    std::string_view job;
    for (const auto& [rank, item] : items)
    {
        if (item->not_before > now)
            continue;
        const bool starts_group = groups.size() == first || item->job != job ||
                                  groups.back().urgency != rank.urgency;
        if (starts_group)
        {
            if (groups.size() >= max_groups)
                break;
            job = item->job;
            groups.push_back({service, rank.urgency, 0});
        }
        ++groups.back().count;
    }
}

} // namespace

std::vector<routing::waiting_items>
group_waiting_items(const pending_items& pending, std::size_t max_groups,
                    const std::function<bool(const std::string&)>& has_targets,
                    common::time_point now)
{
    std::vector<routing::waiting_items> groups;
    std::size_t services = 0;
    for (const auto& [service, items] : pending.by_service())
        services += has_targets(service) ? 1 : 0;
    for (const auto& [service, items] : pending.by_service())
    {
        if (!has_targets(service))
            continue;
        const auto limit =
            groups.size() + std::max<std::size_t>(1, max_groups / services);
        add_groups(groups, service, items, std::min(limit, max_groups), now);
    }
    std::ranges::stable_sort(groups, {}, &routing::waiting_items::urgency);
    return groups;
}

} // namespace tanagertrack::batch
