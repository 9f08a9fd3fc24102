#include "targets/target_set.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::targets
{

target_set::target_set(boost::asio::io_context& context,
                       process_location location, target_hooks hooks)
    : context_(context), location_(std::move(location)),
      hooks_(std::move(hooks))
{
}

void target_set::add(const std::string& id,
                     const fleet::target_announcement& value)
{
    const auto found = by_id_.find(id);
    if (found != by_id_.end())
    {
        const auto& known = found->second->announced();
        if (known.started_ms == value.started_ms &&
            known.address == value.address && known.services == value.services)
            return found->second->update_announcement(value);
        remove(id);
    }
    target_ptr it(new target(context_, id, value, hooks_));
    it->load.proximity = distance_to(value.data_centre);
    by_id_[id] = it;
    for (const auto& service : value.services)
        by_service_[service].push_back(it);
}

void target_set::remove(const std::string& id)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end())
        return;
    const auto it = found->second;
    by_id_.erase(found);
    for (const auto& service : it->announced().services)
        std::erase(by_service_[service], it);
    it->retire();
}

const std::vector<target_ptr>&
target_set::of_service(std::string_view service) const
{
    static const std::vector<target_ptr> no_targets;
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? no_targets : found->second;
}

target* target_set::find(std::string_view id) const
{
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second.get();
}

void target_set::for_each(const std::function<void(target&)>& visit) const
{
    for (const auto& [id, it] : by_id_)
        visit(*it);
}

std::string_view target_set::region_of(const std::string& data_centre) const
{
    const auto found = location_.regions.find(data_centre);
    return found == location_.regions.end() ? location_.region : found->second;
}

routing::distance target_set::distance_to(const std::string& data_centre) const
{
    return routing::distance_between({location_.data_centre, location_.region},
                                     {data_centre, region_of(data_centre)});
}

} // namespace tanagertrack::targets
