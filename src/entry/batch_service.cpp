#include "entry/batch_service.hpp"

#include "common/duty_thread.hpp"
#include "common/hash.hpp"
#include "common/metrics.hpp"
#include "common/result_code.hpp"
#include "entry/batch_core.hpp"
#include "entry/caller_exchange.hpp"
#include "entry/forward_client.hpp"
#include "entry/forward_exchange.hpp"
#include "entry/job_answers.hpp"
#include "entry/job_id.hpp"
#include "entry/job_intake.hpp"
#include "entry/log_proxy.hpp"
#include "entry/once_calls.hpp"
#include "entry/retention_keeper.hpp"
#include "entry/service_rules.hpp"
#include "http/error_answer.hpp"
#include "services/http_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace tanagertrack::entry
{

using common::result_code;
namespace asio = boost::asio;

namespace
{

constexpr std::string_view batches_path = "/v1/batches";

/// Connections of the log client beyond those of the partitions: `control`,
/// and reads of bodies and results.
constexpr std::size_t spare_log_connections = 16;

/// What a request for jobs wants.
struct batch_route
{
    enum class action
    {
        create,
        list,
        show,
        results,
        cancel
    };

    action wanted = action::list;
    std::string job_id;
};

http::rejection retry_soon(result_code code)
{
    http::rejection why(code);
    why.ran = common::execution::not_run;
    why.retry_after = std::chrono::seconds(1);
    return why;
}

/// Finds out what a request wants; the code says why it is refused.
result_code parse_route(const exchange_head& head, batch_route& out)
{
    std::string_view path = head.target;
    path = path.substr(0, path.find('?'));
    path.remove_prefix(std::min(batches_path.size(), path.size()));
    const bool post = head.method == "POST";
    const bool get = head.method == "GET";
    if (path.empty() || path == "/")
    {
        out.wanted =
            post ? batch_route::action::create : batch_route::action::list;
        return post || get ? result_code::ok : result_code::method_not_allowed;
    }
    path.remove_prefix(1);
    const auto slash = path.find('/');
    out.job_id = path.substr(0, slash);
    if (slash == std::string_view::npos)
    {
        out.wanted = batch_route::action::show;
        return get ? result_code::ok : result_code::method_not_allowed;
    }
    const auto rest = path.substr(slash);
    if (rest == "/results")
    {
        out.wanted = batch_route::action::results;
        return get ? result_code::ok : result_code::method_not_allowed;
    }
    if (rest == "/cancel")
    {
        out.wanted = batch_route::action::cancel;
        return post ? result_code::ok : result_code::method_not_allowed;
    }
    return result_code::unknown_path;
}

} // namespace

struct batch_service::impl
{
    explicit impl(batch_environment its);

    /// On the batch thread. A request that came forwarded is not forwarded
    /// again.
    void serve_batches(const exchange_ptr& request, bool forwarded);
    void serve_held(const exchange_ptr& request, std::uint32_t partition,
                    const batch_route& route, placed_id id);
    void serve_call(const exchange_ptr& request, const std::string& service,
                    bool forwarded);

    /// Sends the request to the holder, or refuses it.
    void forward(const exchange_ptr& request, std::uint32_t partition,
                 bool forwarded);
    void spawn(asio::awaitable<void> work);

    batch_environment environment;
    std::shared_ptr<batch_core> core;
    std::shared_ptr<once_calls> calls;
    std::shared_ptr<retention_keeper> keeper;
    std::shared_ptr<forward_client> forwards;
};

batch_service::impl::impl(batch_environment its) : environment(its)
{
    const auto& settings = its.settings;
    services::http_log_settings log_settings;
    log_settings.address = settings.platform.log;
    log_settings.timeout = settings.platform.log_timeout;
    log_settings.max_connections =
        settings.batch.partitions + spare_log_connections;
    auto log = services::make_http_log(its.log_thread.context(), log_settings);
    auto set_fences = [&pool = its.pool, &peer = its.peer_thread](
                          std::vector<proto::Fence> fences)
    {
        peer.post_completion([&pool, fences = std::move(fences)]
                             { pool.set_fences(fences); });
    };
    core = std::make_shared<batch_core>(batch_core::parts{
        settings, its.config, its.batch_thread.context(),
        make_log_proxy(std::move(log), its.log_thread, its.batch_thread),
        make_pool_gate(its.pool, its.peer_thread, its.batch_thread),
        std::move(set_fences)});
    calls = std::make_shared<once_calls>(core);
    keeper = std::make_shared<retention_keeper>(core);
    forwards = std::make_shared<forward_client>(its.peer_thread, settings);
}

void batch_service::impl::spawn(asio::awaitable<void> work)
{
    asio::co_spawn(environment.batch_thread.context(), std::move(work),
                   [](std::exception_ptr error)
                   {
                       if (error)
                           std::rethrow_exception(error);
                   });
}

void batch_service::impl::serve_batches(const exchange_ptr& request,
                                        bool forwarded)
{
    const auto& head = request->head();
    batch_route route;
    const auto code = parse_route(head, route);
    if (code != result_code::ok)
        return refuse(*request, http::rejection(code));
    if (route.wanted == batch_route::action::list)
        return list_jobs(*core, *request);

    placed_id id;
    if (route.wanted == batch_route::action::create)
    {
        const auto key = head.idempotency_key.empty() ? common::random_id()
                                                      : head.idempotency_key;
        id = make_job_id(head.team, key, core->partitions());
    }
    else
    {
        const auto partition =
            parse_job_partition(route.job_id, core->partitions());
        if (!partition)
            return refuse(*request, http::rejection(result_code::unknown_job));
        id = {route.job_id, *partition};
    }
    const auto partition = id.partition;
    if (!core->owner(partition).is_held())
        return forward(request, partition, forwarded);
    serve_held(request, partition, route, std::move(id));
}

void batch_service::impl::serve_held(const exchange_ptr& request,
                                     std::uint32_t partition,
                                     const batch_route& route, placed_id id)
{
    if (route.wanted == batch_route::action::create)
    {
        auto intake =
            std::make_shared<job_intake>(core, request, std::move(id));
        auto run = [](std::shared_ptr<job_intake> it) -> asio::awaitable<void>
        {
            co_await it->run();
        };
        return spawn(run(std::move(intake)));
    }
    const auto& state = core->owner(partition).state();
    const auto* job = state.find_job(id.id);
    if (job == nullptr && state.is_forgotten(id.id))
        return refuse(*request, http::rejection(result_code::results_expired));
    // A job of another team is not told apart from one that doesn't exist.
    if (job == nullptr || job->commit().team() != request->head().team)
        return refuse(*request, http::rejection(result_code::unknown_job));
    switch (route.wanted)
    {
    case batch_route::action::results:
        return spawn(stream_results(core, request, partition, id.id));
    case batch_route::action::cancel:
        return spawn(cancel_job(core, request, partition, id.id));
    default:
        request->respond({},
                         batch_object(*job, core->dispatch().open_work(id.id)));
    }
}

void batch_service::impl::serve_call(const exchange_ptr& request,
                                     const std::string& service, bool forwarded)
{
    const auto& head = request->head();
    if (head.idempotency_key.empty())
        return refuse(*request,
                      http::rejection(result_code::idempotency_key_required));
    const auto id = make_call_id(head.team, service, head.idempotency_key,
                                 core->partitions());
    if (!core->owner(id.partition).is_held())
        return forward(request, id.partition, forwarded);
    spawn(calls->run(request, service, id));
}

void batch_service::impl::forward(const exchange_ptr& request,
                                  std::uint32_t partition, bool forwarded)
{
    const auto holder = core->control().holder(partition);
    if (forwarded || !holder)
        return refuse(*request, retry_soon(result_code::no_partition_holder));
    forwards->forward(request, *holder);
}

batch_service::batch_service(batch_environment environment)
    : impl_(std::make_unique<impl>(environment))
{
}

batch_service::~batch_service() = default;

void batch_service::start()
{
    impl_->environment.batch_thread.post_completion(
        [it = impl_.get()]
        {
            it->core->start();
            it->spawn(it->keeper->run());
        });
}

void batch_service::handle_batches(exchange_ptr request)
{
    const bool posted = impl_->environment.batch_thread.post(
        [it = impl_.get(), request] { it->serve_batches(request, false); });
    if (!posted)
        refuse(*request, retry_soon(result_code::ring_full));
}

void batch_service::handle_call_once(exchange_ptr request, std::string model)
{
    const bool posted = impl_->environment.batch_thread.post(
        [it = impl_.get(), request, model = std::move(model)]
        { it->serve_call(request, model, false); });
    if (!posted)
        refuse(*request, retry_soon(result_code::ring_full));
}

void batch_service::handle_forward(transport::message_stream_ptr stream)
{
    auto& environment = impl_->environment;
    accept_forward(
        std::move(stream), environment.peer_thread, environment.batch_thread,
        [it = impl_.get()](const exchange_ptr& request)
        {
            const auto service = parse_service_target(request->head().target);
            if (service)
                it->serve_call(request, service->name, true);
            else
                it->serve_batches(request, true);
        });
}

void batch_service::stop(std::function<void()> stopped)
{
    impl_->environment.batch_thread.post_completion(
        [core = impl_->core, stopped = std::move(stopped)]() mutable
        { core->stop(std::move(stopped)); });
}

} // namespace tanagertrack::entry
