#include "api/fleet_mapping.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace tanagertrack::api
{

namespace
{

/// Time to the first byte of an answer that callers want; requests that would
/// wait longer for a place are refused.
constexpr auto objective = std::chrono::milliseconds(2000);

fleet::route make_route(route_use use, const std::string& service,
                        const config::settings& settings)
{
    fleet::route it;
    it.name = route_name(use, service);
    it.services = {{service, 1}};
    it.timeout = settings.front.request_timeout;
    it.objective = objective;
    it.max_attempts =
        use == route_use::once ? 1 : settings.routing.max_attempts;
    const bool streams =
        use == route_use::stream || use == route_use::plain_stream;
    it.kind = streams ? fleet::route_kind::stream : fleet::route_kind::call;
    it.repeats = use == route_use::stream ? fleet::repetition::resumable
                 : use == route_use::once ? fleet::repetition::once
                                          : fleet::repetition::repeatable;
    return it;
}

} // namespace

std::string route_name(route_use use, std::string_view service)
{
    constexpr std::string_view prefixes[] = {"stream/", "plain-stream/",
                                             "answer/", "once/"};
    return std::string(prefixes[static_cast<unsigned>(use)]) +
           std::string(service);
}

fleet::configuration_ptr make_configuration(const proto::FleetConfig& from,
                                            const config::settings& settings)
{
    std::vector<fleet::route> routes;
    std::vector<fleet::service> services;
    for (const auto& it : from.models())
    {
        services.push_back({it.name(), {}, 0, 0, true});
        for (const auto use :
             {route_use::stream, route_use::plain_stream, route_use::answer})
            routes.push_back(make_route(use, it.name(), settings));
    }
    for (const auto& it : from.services())
    {
        services.push_back({it.name(), {}, 0, 0, false});
        for (const auto use : {route_use::answer, route_use::once})
            routes.push_back(make_route(use, it.name(), settings));
    }
    return std::make_shared<const fleet::configuration>(
        from.version(), std::move(routes), std::move(services),
        fleet::request_limits());
}

fleet::target_announcement make_announcement(const proto::TargetSpec& from,
                                             std::uint64_t version)
{
    fleet::target_announcement it;
    it.services.assign(from.models().begin(), from.models().end());
    it.address = {from.address(), static_cast<std::uint16_t>(from.port())};
    it.data_centre = from.data_centre();
    it.slots = std::max(1U, from.slots());
    it.leaving = from.state() == "leaving";

    // A target whose address changed is another one.
    it.started_ms = 0;
    it.sequence = version;
    return it;
}

} // namespace tanagertrack::api
