#ifndef TANAGERTRACK_API_FLEET_MAPPING_HPP
#define TANAGERTRACK_API_FLEET_MAPPING_HPP

#include "config/settings.hpp"
#include "fleet/configuration.hpp"
#include "fleet/target_directory.hpp"
#include "proto/tickets.pb.h"

#include <string>
#include <string_view>

namespace tanagertrack::api
{

/// How a request for a model or service is answered. Each model and service has
/// a route for each use that it supports.
enum class route_use
{
    /// A stream of events that another target can continue after a failure.
    stream,

    /// A stream that can't be continued.
    plain_stream,

    /// One whole response; the request may be sent to a target again.
    answer,

    /// One whole response; the request runs at most once.
    once
};

/// Returns the name of the route for a model or service.
std::string route_name(route_use use, std::string_view service);

/// Converts the fleet configuration of the ticket log to routes and services:
/// one service and its routes for each model and each plain service (one that
/// is not a model).
fleet::configuration_ptr
make_configuration(const proto::FleetConfig& fleet_config,
                   const config::settings& settings);

/// Converts a target of the fleet configuration to an announcement for the
/// target directory. `version` is the version of the configuration and becomes
/// the sequence number of the announcement.
fleet::target_announcement make_announcement(const proto::TargetSpec& spec,
                                             std::uint64_t version);

} // namespace tanagertrack::api

#endif
