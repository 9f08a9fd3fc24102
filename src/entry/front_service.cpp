#include "entry/front_service.hpp"

#include "common/duty_thread.hpp"
#include "common/metrics.hpp"
#include "entry/caller_exchange.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace tanagertrack::entry
{

using common::result_code;

namespace
{

/// Teams whose rate is tracked at a time.
constexpr std::size_t max_tracked_teams = 20000;

constexpr std::string_view batches_path = "/v1/batches";

bool is_batches_path(std::string_view path)
{
    return path == batches_path ||
           path.starts_with(std::string(batches_path) + '/');
}

std::string_view request_class(std::string_view path)
{
    if (is_batches_path(path))
        return "batch";
    return path.starts_with("/v1/services/") ? "service" : "online";
}

unsigned to_whole_seconds(common::duration value)
{
    using std::chrono::ceil;
    return static_cast<unsigned>(ceil<std::chrono::seconds>(value).count());
}

} // namespace

front_service::front_service(front_environment environment)
    : env_(std::move(environment)), limits_(max_tracked_teams)
{
}

bool front_service::is_ready() const
{
    return !stopping_ && env_.config.current() != nullptr;
}

void front_service::refuse(const http::http_exchange_ptr& http,
                           const http::rejection& why)
{
    count_rejection(env_.metrics, why.code);
    auto answer = http::error_answer(why, http->head().request_id);

    // A stopping process gives up its connections with the next answer.
    answer.head.close = stopping_;
    http->respond(std::move(answer.head), std::move(answer.body));
}

void front_service::refuse_input(const http::http_exchange_ptr& http,
                                 std::error_code ec, std::string message)
{
    http::rejection why(common::to_result_code(ec));
    why.message = std::move(message);
    refuse(http, why);
}

void front_service::handle(const http::http_exchange_ptr& http)
{
    if (handle_open_path(http))
        return;
    if (stopping_)
        return refuse(http, http::rejection(result_code::shutting_down));
    if (!update_index())
        return refuse(http, http::rejection(result_code::no_configuration));
    const auto* team = admit(http);
    if (team == nullptr)
        return;

    const auto& head = http->head();
    const auto path = head.path();
    auto request = check(http, *team, request_class(path));
    if (!request)
        return;
    const bool chat = path == "/v1/chat/completions";
    if (is_batches_path(path))
        return handle_batches(request);
    if (path.starts_with("/v1/services/"))
        return handle_service(std::move(request));
    if (!chat && path != "/v1/completions" && path != "/v1/models")
        return refuse(http, http::rejection(result_code::unknown_path));
    if (head.method != (path == "/v1/models" ? "GET" : "POST"))
        return refuse(http, http::rejection(result_code::method_not_allowed));
    if (path == "/v1/models")
        return list_models(request);
    handle_model(std::move(request),
                 chat ? model_endpoint::chat : model_endpoint::completion);
}

bool front_service::handle_open_path(const http::http_exchange_ptr& http)
{
    const auto& head = http->head();
    const auto path = head.path();
    if (path != "/healthz" && path != "/readyz" && path != "/metrics")
        return false;
    if (head.method != "GET" && head.method != "HEAD")
    {
        refuse(http, http::rejection(result_code::method_not_allowed));
        return true;
    }
    if (path == "/readyz" && !is_ready())
        refuse(http,
               http::rejection(stopping_ ? result_code::shutting_down
                                         : result_code::no_configuration));
    else if (path == "/metrics")
    {
        http::answer_head head;
        head.content_type = "text/plain; version=0.0.4";
        http->respond(std::move(head), env_.metrics.render());
    }
    else
        http->respond({}, R"({"status":"ok"})");
    return true;
}

bool front_service::update_index()
{
    auto config = env_.config.current();
    if (!config)
        return false;
    if (!index_ || &index_->config() != config.get())
        index_ = std::make_shared<const fleet_index>(std::move(config));
    return true;
}

const proto::TeamSpec* front_service::admit(const http::http_exchange_ptr& http)
{
    const auto* team = index_->find_team(http->head().authorization());
    if (team == nullptr)
    {
        refuse(http, http::rejection(result_code::invalid_team_key));
        return nullptr;
    }
    const auto& defaults = env_.settings.routing;
    routing::team_rate rate;
    rate.requests_per_second = team->requests_per_second() > 0
                                   ? team->requests_per_second()
                                   : defaults.default_requests_per_second;
    rate.burst = team->burst() > 0 ? team->burst() : defaults.default_burst;
    const auto wait = limits_.take(team->name(), rate, common::clock::now());
    if (wait <= common::duration())
        return team;
    http::rejection why(result_code::rate_limited);
    why.retry_after = std::chrono::seconds(to_whole_seconds(wait));
    refuse(http, why);
    return nullptr;
}

front_service::request_ptr
front_service::check(const http::http_exchange_ptr& http,
                     const proto::TeamSpec& team, std::string_view kind)
{
    if (in_progress() >= env_.settings.front.max_requests)
    {
        refuse(http, http::rejection(result_code::overloaded));
        return nullptr;
    }
    return request_ptr(new checked_request{
        http, team.name(),
        std::make_unique<request_observer>(env_.metrics, in_progress_, kind,
                                           team.name())});
}

exchange_ptr front_service::make_exchange(const request_ptr& request,
                                          common::duty_thread& thread)
{
    // Handlers are bounded by the requests in progress.
    request->http->run_handlers_with(
        [&thread](std::function<void()> handler)
        { thread.post_completion(std::move(handler)); });
    return exchange_ptr(new caller_exchange(
        request->http, std::move(request->team), std::move(request->observer)));
}

void front_service::list_models(const request_ptr& request)
{
    boost::json::array list;
    for (const auto& it : index_->config().models())
        list.push_back({{"id", it.name()}, {"object", "model"}});
    boost::json::object body;
    body["object"] = "list";
    body["data"] = std::move(list);
    request->http->respond({}, boost::json::serialize(body));
}

// ---- models ----

void front_service::handle_model(request_ptr request, model_endpoint endpoint)
{
    http::read_whole_body(
        request->http, env_.settings.front.max_body_bytes,
        [this, request, endpoint](std::error_code ec, std::string body)
        {
            if (ec)
                refuse_input(request->http, ec, {});
            else
                route_model(request, endpoint, std::move(body));
        });
}

void front_service::route_model(const request_ptr& request,
                                model_endpoint endpoint, std::string body)
{
    model_request parsed;
    std::string message;
    const auto ec = parse_model_request(endpoint, body, parsed, message);
    if (ec)
        return refuse_input(request->http, ec, std::move(message));
    if (!index_->has_model(parsed.model))
        return refuse_input(request->http, result_code::unknown_model, {});

    online_call call;
    call.model = std::move(parsed.model);
    call.resumable = parsed.resumable;
    call.work.set_method("POST");
    call.work.set_path(endpoint == model_endpoint::chat ? "/v1/chat/completions"
                                                        : "/v1/completions");
    call.work.set_content_type("application/json");
    call.work.set_stream(parsed.stream);
    call.work.set_body(std::move(body));
    route(request, std::move(call));
}

void front_service::route(const request_ptr& request, online_call call)
{
    call.work.set_work_id(request->http->head().request_id);
    call.work.set_work_class(proto::WORK_ONLINE);
    call.work.set_repeatable(true);
    call.work.set_team(request->team);
    call.deadline = common::clock::now() + env_.settings.front.request_timeout;
    call.request = make_exchange(request, env_.peer_thread);
    env_.router.handle(std::move(call));
}

// ---- services ----

void front_service::handle_service(request_ptr request)
{
    const auto& http = request->http;
    const auto& head = http->head();
    auto target = parse_service_target(head.target);
    const auto* rules = target ? index_->find_service(target->name) : nullptr;
    if (rules == nullptr)
        return refuse(http, http::rejection(result_code::unknown_service));
    const auto repeatable = rules->is_repeatable(head.method, target->path);
    if (!repeatable)
        return refuse_input(http, result_code::invalid_request,
                            "the path has more than one reading");
    if (!*repeatable && head.idempotency_key().empty())
        return refuse(http,
                      http::rejection(result_code::idempotency_key_required));
    if (!*repeatable)
    {
        http->limit_body(env_.settings.front.max_body_bytes);
        return env_.batch.handle_call_once(
            make_exchange(request, env_.batch_thread), std::move(target->name));
    }
    http::read_whole_body(http, env_.settings.front.max_body_bytes,
                          [this, request, target = std::move(*target)](
                              std::error_code ec, std::string body)
                          {
                              if (ec)
                                  refuse_input(request->http, ec, {});
                              else
                                  route_service(request, target,
                                                std::move(body));
                          });
}

void front_service::route_service(const request_ptr& request,
                                  service_target target, std::string body)
{
    const auto& head = request->http->head();
    online_call call;
    call.model = std::move(target.name);
    call.work.set_method(head.method);
    call.work.set_path(std::move(target.path));
    call.work.set_content_type(std::string(head.content_type()));
    call.work.set_body(std::move(body));
    route(request, std::move(call));
}

// ---- batch ----

void front_service::handle_batches(const request_ptr& request)
{
    request->http->limit_body(env_.settings.front.max_job_bytes);
    env_.batch.handle_batches(make_exchange(request, env_.batch_thread));
}

} // namespace tanagertrack::entry
