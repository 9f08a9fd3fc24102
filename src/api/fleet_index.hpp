#ifndef TANAGERTRACK_API_FLEET_INDEX_HPP
#define TANAGERTRACK_API_FLEET_INDEX_HPP

#include "api/service_rules.hpp"
#include "proto/tickets.pb.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tanagertrack::api
{

/// Look-up tables of one version of the fleet configuration, for requests.
/// Immutable; holds the configuration.
class fleet_index
{
public:
    explicit fleet_index(std::shared_ptr<const proto::FleetConfig> config);

    /// Team of an Authorization header ("Bearer KEY"); null when there is
    /// none with this key.
    const proto::TeamSpec* find_team(std::string_view authorization) const;

    bool has_model(std::string_view name) const;

    /// Null when there is no such service.
    const service_rules* find_service(std::string_view name) const;

    const proto::FleetConfig& config() const
    {
        return *config_;
    }

private:
    std::shared_ptr<const proto::FleetConfig> config_;

    // Keys are views of the configuration's strings.
    std::unordered_map<std::string_view, const proto::TeamSpec*> teams_;
    std::unordered_map<std::string_view, const proto::ModelSpec*> models_;
    std::unordered_map<std::string_view, service_rules> services_;
};

/// Key of an Authorization header with the scheme Bearer; empty if none.
std::string_view bearer_key(std::string_view authorization);

} // namespace tanagertrack::api

#endif
