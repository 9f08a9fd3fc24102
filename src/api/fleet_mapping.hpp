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

/// How a request for a model or service is answered.
enum class route_use
{
    /// A stream of events that another target can continue.
    stream,

    /// A stream that can't be continued.
    plain_stream,

    /// One whole answer; the request may be repeated.
    answer,

    /// One whole answer; the request runs at most once.
    once
};

/// Name of the route for a model or service.
std::string route_name(route_use use, std::string_view service);

/// The configuration that follows from the tickets: a service and routes for
/// each model and each plain service.
fleet::configuration_ptr make_configuration(const proto::FleetConfig& from,
                                            const config::settings& settings);

/// What a ticket says of a target.
fleet::target_announcement make_announcement(const proto::TargetSpec& from,
                                             std::uint64_t version);

} // namespace tanagertrack::api

#endif
