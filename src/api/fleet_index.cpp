#include "api/fleet_index.hpp"

#include "common/hash.hpp"
#include "http/syntax.hpp"

#include <utility>

namespace tanagertrack::api
{

fleet_index::fleet_index(std::shared_ptr<const proto::FleetConfig> config)
    : config_(std::move(config))
{
    for (const auto& it : config_->teams())
        teams_.emplace(it.key_hash(), &it);
    for (const auto& it : config_->models())
        models_.emplace(it.name(), &it);
    for (const auto& it : config_->services())
        services_.emplace(it.name(), service_rules(it));
}

const proto::TeamSpec*
fleet_index::find_team(std::string_view authorization) const
{
    const auto key = http::bearer_credentials(authorization);
    if (key.empty())
        return nullptr;
    const auto it = teams_.find(common::to_hex(common::hash128(key)));
    return it != teams_.end() ? it->second : nullptr;
}

bool fleet_index::has_model(std::string_view name) const
{
    return models_.contains(name);
}

const service_rules* fleet_index::find_service(std::string_view name) const
{
    const auto it = services_.find(name);
    return it != services_.end() ? &it->second : nullptr;
}

} // namespace tanagertrack::api
