#include "fleet/configuration.hpp"

#include "common/hash.hpp"

#include <utility>

namespace tanagertrack::fleet
{

namespace
{

/// Returns the key of a route. It is unique for each pair: a prefix begins with
/// a slash, and a host name contains none.
std::string prefix_key(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += prefix;
    return key;
}

} // namespace

std::string hash_team_key(std::string_view key)
{
    static const std::string seed = common::random_id();
    return common::hash128({seed, key});
}

configuration::configuration(std::uint64_t version, std::vector<route> routes,
                             std::vector<service> services,
                             request_limits limits,
                             std::optional<std::vector<team>> teams)
    : version_(version), routes_(std::move(routes)),
      services_(std::move(services)), limits_(limits),
      requires_key_(teams.has_value()),
      teams_(std::move(teams).value_or(std::vector<team>()))
{
    for (std::size_t i = 0; i < routes_.size(); ++i)
    {
        const auto& it = routes_[i];
        const auto key = prefix_key(it.host, it.path_prefix);
        by_prefix_[key] = i;
        if (it.kind == route_kind::batch)
            batch_by_prefix_[key] = i;
        by_host_.emplace(it.host, i);
        by_name_[it.name] = i;
    }
    for (std::size_t i = 0; i < services_.size(); ++i)
        services_by_name_[services_[i].name] = i;
    for (std::size_t i = 0; i < teams_.size(); ++i)
    {
        teams_by_name_[teams_[i].name] = i;
        for (const auto& it : teams_[i].key_hashes)
            teams_by_key_[it] = i;
    }
}

const route* configuration::find_route(std::string_view host,
                                       std::string_view path) const
{
    return find_longest_prefix(by_prefix_, host, path);
}

const route* configuration::find_batch_route(std::string_view host,
                                             std::string_view path) const
{
    return find_longest_prefix(batch_by_prefix_, host, path);
}

const route* configuration::find_longest_prefix(const index& prefixes,
                                                std::string_view host,
                                                std::string_view path) const
{
    auto key = prefix_key(host, path);
    while (key.size() > host.size())
    {
        // Prefixes end with a slash: shorten the key to the next one.
        key.resize(key.rfind('/') + 1);
        if (key.size() <= host.size())
            return nullptr;
        const auto it = prefixes.find(key);
        if (it != prefixes.end())
            return &routes_[it->second];
        key.pop_back();
    }
    return nullptr;
}

bool configuration::has_host(std::string_view host) const
{
    return by_host_.contains(host);
}

const route* configuration::find_route_named(std::string_view name) const
{
    const auto it = by_name_.find(name);
    return it == by_name_.end() ? nullptr : &routes_[it->second];
}

const service* configuration::find_service(std::string_view name) const
{
    const auto it = services_by_name_.find(name);
    return it == services_by_name_.end() ? nullptr : &services_[it->second];
}

const team* configuration::find_team(std::string_view key_hash) const
{
    const auto it = teams_by_key_.find(key_hash);
    return it == teams_by_key_.end() ? nullptr : &teams_[it->second];
}

const team* configuration::find_team_named(std::string_view name) const
{
    const auto it = teams_by_name_.find(name);
    return it == teams_by_name_.end() ? nullptr : &teams_[it->second];
}

} // namespace tanagertrack::fleet
