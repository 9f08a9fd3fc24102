#include "api/caller_api.hpp"

#include "api/fleet_mapping.hpp"
#include "online/request.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace tanagertrack::api
{

using common::result_code;

namespace
{

/// Maximum number of teams whose request rate is tracked at a time.
constexpr std::size_t max_tracked_teams = 20000;

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view completion_path = "/v1/completions";
constexpr std::string_view models_path = "/v1/models";
constexpr std::string_view services_prefix = "/v1/services/";

/// Returns the label `class` of the request's metrics.
std::string_view request_class(std::string_view path)
{
    if (batch_api::is_batch_path(path))
        return "batch";
    return path.starts_with(services_prefix) ? "service" : "online";
}

/// Builds the request that is sent to a target. `route` is the name of a route;
/// the route of the result is null if the configuration doesn't have it.
/// `request_target` is the path and query of the HTTP request.
online::call make_call(entry::entry_core& core, const caller_request& request,
                       const std::string& route, std::string request_target,
                       std::string body)
{
    const auto& head = request.exchange->head();
    online::call call;
    call.id = head.request_id;
    call.method = head.method;
    call.target = std::move(request_target);
    call.host = to_string(core.settings().platform.front);
    if (!head.content_type().empty())
        call.headers.add("Content-Type", head.content_type());
    call.body = std::move(body);
    call.configuration = core.configuration();
    call.route = call.configuration->find_route_named(route);
    call.received = common::clock::now();
    call.deadline = call.received + core.settings().front.request_timeout;
    if (call.route != nullptr)
        call.repeats = call.route->repeats;
    return call;
}

} // namespace

caller_api::caller_api(entry::entry_core& core, std::function<bool()> is_ready)
    : core_(core), is_ready_(std::move(is_ready)), batch_(core),
      service_calls_(core), limits_(max_tracked_teams)
{
}

void caller_api::set_fleet(std::shared_ptr<const proto::FleetConfig> fleet)
{
    fleet_ = std::make_shared<const fleet_index>(std::move(fleet));
}

void caller_api::drain()
{
    draining_ = true;
}

void caller_api::refuse(const http::http_exchange_ptr& exchange,
                        const http::rejection& rejection)
{
    entry::count_rejection(core_.metrics(), rejection.code);
    exchange->refuse(rejection);
}

void caller_api::refuse_with_message(const http::http_exchange_ptr& exchange,
                                     std::error_code ec, std::string message)
{
    http::rejection rejection(common::to_result_code(ec));
    rejection.message = std::move(message);
    refuse(exchange, rejection);
}

void caller_api::handle(const http::http_exchange_ptr& exchange)
{
    if (handle_unauthenticated_path(exchange))
        return;
    if (draining_)
        return refuse(exchange, http::rejection(result_code::shutting_down));
    if (!fleet_)
        return refuse(exchange, http::rejection(result_code::no_configuration));
    const auto* team = admit(exchange);
    if (team == nullptr)
        return;
    if (in_progress_ >= core_.settings().front.max_requests)
        return refuse(exchange, http::rejection(result_code::overloaded));

    const auto& head = exchange->head();
    const auto path = head.path();
    const caller_request request{
        exchange, team->name(),
        std::make_shared<entry::request_observer>(
            core_.metrics(), in_progress_, request_class(path), team->name()),
        fleet_};
    if (batch_api::is_batch_path(path))
        return batch_.handle(request);
    if (path.starts_with(services_prefix))
        return handle_service(request);
    const bool chat = path == chat_path;
    const bool models = path == models_path;
    if (!chat && !models && path != completion_path)
        return refuse(exchange, http::rejection(result_code::unknown_path));
    if (head.method != (models ? "GET" : "POST"))
        return refuse(exchange,
                      http::rejection(result_code::method_not_allowed));
    if (models)
        return list_models(request);
    handle_model(request,
                 chat ? model_endpoint::chat : model_endpoint::completion);
}

bool caller_api::handle_unauthenticated_path(
    const http::http_exchange_ptr& exchange)
{
    const auto& head = exchange->head();
    const auto path = head.path();
    if (path != "/healthz" && path != "/readyz" && path != "/metrics")
        return false;
    if (head.method != "GET" && head.method != "HEAD")
    {
        refuse(exchange, http::rejection(result_code::method_not_allowed));
        return true;
    }
    if (path == "/readyz" && !is_ready_())
        refuse(exchange,
               http::rejection(draining_ ? result_code::shutting_down
                                         : result_code::no_configuration));
    else if (path == "/metrics")
    {
        http::answer_head answer;
        answer.content_type = "text/plain; version=0.0.4";
        exchange->respond(std::move(answer), core_.metrics().render());
    }
    else
        exchange->respond({}, R"({"status":"ok"})");
    return true;
}

const proto::TeamSpec*
caller_api::admit(const http::http_exchange_ptr& exchange)
{
    const auto* team = fleet_->find_team(exchange->head().authorization());
    if (team == nullptr)
    {
        refuse(exchange, http::rejection(result_code::invalid_team_key));
        return nullptr;
    }
    const auto& defaults = core_.settings().routing;
    routing::team_rate rate;
    rate.requests_per_second = team->requests_per_second() > 0
                                   ? team->requests_per_second()
                                   : defaults.default_requests_per_second;
    rate.burst = team->burst() > 0 ? team->burst() : defaults.default_burst;
    const auto wait =
        limits_.try_acquire(team->name(), rate, common::clock::now());
    if (wait <= common::duration())
        return team;
    http::rejection rejection(result_code::rate_limited);
    rejection.retry_after = std::chrono::ceil<std::chrono::seconds>(wait);
    refuse(exchange, rejection);
    return nullptr;
}

void caller_api::list_models(const caller_request& request) const
{
    boost::json::array list;
    for (const auto& it : request.fleet->config().models())
        list.push_back({{"id", it.name()}, {"object", "model"}});
    boost::json::object body;
    body["object"] = "list";
    body["data"] = std::move(list);
    request.exchange->respond({}, boost::json::serialize(body));
}

// ---- models ----

void caller_api::handle_model(const caller_request& request,
                              model_endpoint endpoint)
{
    http::read_whole_body(
        request.exchange, core_.settings().front.max_body_bytes,
        [this, request, endpoint](std::error_code ec, std::string body)
        {
            model_request parsed;
            std::string message;
            if (!ec)
                ec = parse_model_request(endpoint, body, parsed, message);
            if (!ec && !request.fleet->has_model(parsed.model))
                ec = result_code::unknown_model;
            if (ec)
                return refuse_with_message(request.exchange, ec,
                                           std::move(message));
            run_model(request, std::move(body), parsed);
        });
}

void caller_api::run_model(const caller_request& request, std::string body,
                           const model_request& parsed)
{
    const auto use = !parsed.stream     ? route_use::answer
                     : parsed.resumable ? route_use::stream
                                        : route_use::plain_stream;
    auto call = make_call(core_, request, route_name(use, parsed.model),
                          std::string(request.exchange->head().path()),
                          std::move(body));
    if (call.route == nullptr)
        return refuse_with_message(request.exchange, result_code::unknown_model,
                                   {});
    call.prompt = parsed.prompt;
    const online::request_ptr online_request(new online::request(
        core_.online(), std::move(call),
        entry::make_answer_hooks(request.exchange, request.observer)));
    request.exchange->on_abandoned([online_request]
                                   { online_request->abandon(); });
    online_request->start();
}

// ---- services ----

void caller_api::handle_service(const caller_request& request)
{
    const auto& exchange = request.exchange;
    const auto& head = exchange->head();
    const auto target = parse_service_target(head.target);
    const auto* rules =
        target ? request.fleet->find_service(target->name) : nullptr;
    if (rules == nullptr)
        return refuse(exchange, http::rejection(result_code::unknown_service));
    const auto repeatable = rules->is_repeatable(head.method, target->path);
    if (!repeatable)
        return refuse_with_message(
            exchange, result_code::invalid_request,
            "path: must not contain empty, '.' or '..' "
            "segments, ';', '\\', or encoded separators; "
            "escapes must be valid");
    if (!*repeatable && head.idempotency_key().empty())
        return refuse(exchange,
                      http::rejection(result_code::idempotency_key_required));
    http::read_whole_body(
        exchange, core_.settings().front.max_body_bytes,
        [this, request, target = *target,
         repeatable = *repeatable](std::error_code ec, std::string body)
        {
            if (ec)
                return refuse_with_message(request.exchange, ec, {});
            run_service(request, target, std::move(body), repeatable);
        });
}

void caller_api::run_service(const caller_request& request,
                             const service_target& target, std::string body,
                             bool repeatable)
{
    const auto use = repeatable ? route_use::answer : route_use::once;
    auto call = make_call(core_, request, route_name(use, target.name),
                          target.path, std::move(body));
    if (call.route == nullptr)
        return refuse_with_message(request.exchange,
                                   result_code::unknown_service, {});
    if (!repeatable)
        return service_calls_.run(request, target.name, std::move(call));
    const online::request_ptr online_request(new online::request(
        core_.online(), std::move(call),
        entry::make_answer_hooks(request.exchange, request.observer)));
    request.exchange->on_abandoned([online_request]
                                   { online_request->abandon(); });
    online_request->start();
}

} // namespace tanagertrack::api
