#include "api/fleet_mapping.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace tanagertrack::api
{

namespace
{

/// Time within which callers expect the first byte of a response. Requests that
/// would wait longer for a slot are refused.
constexpr auto first_byte_objective = std::chrono::milliseconds(2000);

fleet::route make_route(route_use use, const std::string& service,
                        const config::settings& settings)
{
    fleet::route route;
    route.name = route_name(use, service);
    route.services = {{service, 1}};
    route.timeout = settings.front.request_timeout;
    route.objective = first_byte_objective;
    route.max_attempts =
        use == route_use::once ? 1 : settings.routing.max_attempts;
    const bool is_stream =
        use == route_use::stream || use == route_use::plain_stream;
    route.kind =
        is_stream ? fleet::route_kind::stream : fleet::route_kind::call;
    route.repeats = use == route_use::stream ? fleet::repetition::resumable
                    : use == route_use::once ? fleet::repetition::once
                                             : fleet::repetition::repeatable;
    return route;
}

} // namespace

std::string route_name(route_use use, std::string_view service)
{
    // In the order of `route_use`.
    constexpr std::string_view prefixes[] = {"stream/", "plain-stream/",
                                             "answer/", "once/"};
    return std::string(prefixes[static_cast<unsigned>(use)]) +
           std::string(service);
}

fleet::configuration_ptr
make_configuration(const proto::FleetConfig& fleet_config,
                   const config::settings& settings)
{
    std::vector<fleet::route> routes;
    std::vector<fleet::service> services;

    // Tickets state neither a health check path nor limits for a service.
    for (const auto& it : fleet_config.models())
    {
        services.push_back({it.name(), {}, 0, 0, true});
        for (const auto use :
             {route_use::stream, route_use::plain_stream, route_use::answer})
            routes.push_back(make_route(use, it.name(), settings));
    }
    for (const auto& it : fleet_config.services())
    {
        services.push_back({it.name(), {}, 0, 0, false});
        for (const auto use : {route_use::answer, route_use::once})
            routes.push_back(make_route(use, it.name(), settings));
    }
    return std::make_shared<const fleet::configuration>(
        fleet_config.version(), std::move(routes), std::move(services),
        fleet::request_limits());
}

fleet::target_announcement make_announcement(const proto::TargetSpec& spec,
                                             std::uint64_t version)
{
    fleet::target_announcement announcement;

    // `models` also has the names of plain services.
    announcement.services.assign(spec.models().begin(), spec.models().end());
    announcement.address = {spec.address(),
                            static_cast<std::uint16_t>(spec.port())};
    announcement.data_centre = spec.data_centre();
    announcement.slots = std::max(1U, spec.slots());
    announcement.leaving = spec.state() == "leaving";

    // Tickets don't state when a target was started, so that the sequence
    // number alone orders the announcements. The target set replaces a target
    // whose address or services have changed.
    announcement.started_ms = 0;
    announcement.sequence = version;
    return announcement;
}

} // namespace tanagertrack::api
