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

/// Look-up tables for one version of the fleet configuration, used to check
/// requests. Keeps the configuration alive. Immutable, so it may be read from
/// any thread.
class fleet_index
{
public:
    explicit fleet_index(std::shared_ptr<const proto::FleetConfig> config);

    /// Returns the team of an Authorization header ("Bearer KEY"), or nullptr
    /// if no team has this key.
    const proto::TeamSpec* find_team(std::string_view authorization) const;

    /// Returns true if the configuration has a model of this name.
    bool has_model(std::string_view name) const;

    /// Returns the rules of a plain service, that is, one that is not a model.
    /// Returns nullptr if there is no such service of this name.
    const service_rules* find_service(std::string_view name) const;

    const proto::FleetConfig& config() const
    {
        return *config_;
    }

private:
    std::shared_ptr<const proto::FleetConfig> config_;

    // Teams by the hash of their bearer key, the others by name. The keys are
    // views of strings that `config_` owns.
    std::unordered_map<std::string_view, const proto::TeamSpec*> teams_;
    std::unordered_map<std::string_view, const proto::ModelSpec*> models_;
    std::unordered_map<std::string_view, service_rules> services_;
};

} // namespace tanagertrack::api

#endif
