#include "agent/agent_process.hpp"

#include "agent/agent_metrics.hpp"
#include "agent/status_hub.hpp"
#include "agent/target_probe.hpp"
#include "agent/target_runner.hpp"
#include "agent/work_dispatcher.hpp"
#include "common/duty_thread.hpp"
#include "common/logging.hpp"
#include "common/metrics.hpp"
#include "http/http_server.hpp"
#include "services/http_target.hpp"
#include "transport/peer_options.hpp"
#include "transport/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <utility>

namespace tanagertrack::agent
{

namespace
{

/// Time between two looks at what a planned stop waits for.
constexpr std::chrono::milliseconds stop_check_interval{10};

/// Time for entries to close their connections at the end of a planned stop.
constexpr std::chrono::milliseconds close_time{1000};

/// Bytes of events of one call that wait for the peer thread.
constexpr std::size_t max_waiting_bytes = 4UL * 1024 * 1024;

constexpr std::size_t max_admin_connections = 64;

services::http_target_settings
make_target_settings(const config::agent_settings& from)
{
    services::http_target_settings to;
    to.address = from.target_address;
    to.max_idle_connections = from.slots;
    return to;
}

http::http_settings make_admin_settings()
{
    http::http_settings to;
    to.name = "admin";
    to.max_connections = max_admin_connections;
    return to;
}

} // namespace

struct agent_process::impl
{
    explicit impl(config::settings given);

    int run();
    bool listen();
    void wait_for_signal();
    void on_signal();
    void accept(transport::message_stream_ptr stream);
    void probe();
    void serve_admin(const http::http_exchange_ptr& request);
    void publish_health();
    void begin_stop();
    void check_stop();
    void check_closed(common::time_point limit);
    void end();

    // Per process; the threads come first, so that all that lives on their
    // contexts is destroyed before them.
    const config::settings settings;
    common::metrics_registry registry;
    agent_metrics metrics;
    common::duty_thread peer;
    common::duty_thread target;
    common::duty_thread admin;
    boost::asio::io_context main_context{1};
    boost::asio::signal_set signals;

    target_runner runner;
    work_dispatcher work;
    status_hub hub;
    target_probe prober;
    transport::server server;
    http::http_server admin_server;

    // Planned stop, on the peer thread.
    boost::asio::steady_timer stop_timer;
    common::time_point stop_limit;

    // Read by the admin thread.
    std::atomic<bool> ready{true};
    bool stopping = false;
};

agent_process::impl::impl(config::settings given)
    : settings(std::move(given)), registry(settings.max_metric_series),
      metrics(registry), peer("peer", settings.ring_capacity),
      target("target", settings.ring_capacity),
      admin("admin", settings.ring_capacity),
      signals(main_context, SIGTERM, SIGINT),
      runner(peer, target,
             services::make_http_target(target.context(),
                                        make_target_settings(settings.agent)),
             max_waiting_bytes),
      work(peer.context(), settings, metrics, runner),
      hub(peer.context(), work),
      prober(peer.context(), settings.agent.target_address),
      server(peer.context(), transport::make_peer_options(settings),
             [this](transport::message_stream_ptr stream)
             { accept(std::move(stream)); }),
      admin_server(admin.context(), make_admin_settings(),
                   [this](const http::http_exchange_ptr& request)
                   { serve_admin(request); }),
      stop_timer(peer.context())
{
    work.set_hooks(
        [this]
        {
            hub.changed();
            publish_health();
        },
        [this](std::uint64_t connection) { hub.note_batch(connection); },
        [this](std::uint64_t connection) { return hub.credit(connection); });
    work.on_target_down([this] { probe(); });
}

int agent_process::impl::run()
{
    if (!listen())
        return EXIT_FAILURE;
    probe();
    wait_for_signal();
    peer.start();
    target.start();
    admin.start();
    common::log_info("agent_started",
                     {{"name", settings.name},
                      {"target", settings.agent.target},
                      {"port", settings.peer.port},
                      {"admission", settings.agent.admission}});
    main_context.run();

    peer.stop();
    target.stop();
    admin.stop();
    common::log_info("agent_stopped", {{"name", settings.name}});
    return EXIT_SUCCESS;
}

bool agent_process::impl::listen()
{
    const auto open = [this](auto& listener, std::uint16_t port)
    {
        const std::error_code ec = listener.listen({settings.address, port});
        if (ec)
            common::log_error("listen_failed",
                              {{"port", port}, {"error", ec.message()}});
        return !ec;
    };
    return open(server, settings.peer.port) &&
           open(admin_server, settings.agent.admin_port);
}

void agent_process::impl::accept(transport::message_stream_ptr stream)
{
    if (stream->path() == "/work")
        work.accept(std::move(stream));
    else if (stream->path() == "/status")
        hub.accept(stream);
    else
        stream->reset();
}

void agent_process::impl::probe()
{
    prober.start(
        [this](bool reached)
        {
            if (reached)
                work.target_reached();
            else
                work.target_refused();
        });
}

// ---- admin thread ----

void agent_process::impl::serve_admin(const http::http_exchange_ptr& request)
{
    http::answer_head head;
    head.content_type = "text/plain; charset=utf-8";
    const auto path = request->head().path();
    std::string body;
    if (path == "/healthz")
    {
        body = "ok\n";
    }
    else if (path == "/readyz")
    {
        head.status = ready ? 200 : 503;
        body = ready ? "ready\n" : "not ready\n";
    }
    else if (path == "/metrics")
    {
        head.content_type = "text/plain; version=0.0.4";
        body = registry.render();
    }
    else
    {
        request->refuse(http::rejection(common::result_code::unknown_path));
        return;
    }
    request->respond(std::move(head), std::move(body));
}

void agent_process::impl::publish_health()
{
    ready = !work.leaving() && !work.target_down();
}

// ---- planned stop ----

void agent_process::impl::wait_for_signal()
{
    signals.async_wait(
        [this](const auto& ec, int)
        {
            if (!ec)
                on_signal();
        });
}

void agent_process::impl::on_signal()
{
    if (std::exchange(stopping, true))
        std::_Exit(EXIT_FAILURE);
    common::log_info("stop_begun", {{"name", settings.name}});
    peer.post_completion([this] { begin_stop(); });
    wait_for_signal();
}

void agent_process::impl::begin_stop()
{
    stop_limit = common::clock::now() + settings.stop.grace;
    work.begin_stop();
    check_stop();
}

void agent_process::impl::check_stop()
{
    const auto now = common::clock::now();
    if (!work.is_idle() && now < stop_limit)
    {
        stop_timer.expires_after(stop_check_interval);
        stop_timer.async_wait([this](const auto&) { check_stop(); });
        return;
    }
    // What is left after the time is stopped and reported as such.
    work.end_stop();
    hub.finish_all();
    server.stop_accepting();
    check_closed(now + close_time);
}

void agent_process::impl::check_closed(common::time_point limit)
{
    if (server.open_connections() == 0 || common::clock::now() >= limit)
    {
        end();
        return;
    }
    stop_timer.expires_after(stop_check_interval);
    stop_timer.async_wait([this, limit](const auto&) { check_closed(limit); });
}

void agent_process::impl::end()
{
    boost::asio::post(main_context, [this] { main_context.stop(); });
}

agent_process::agent_process(config::settings settings)
    : impl_(std::make_unique<impl>(std::move(settings)))
{
}

agent_process::~agent_process() = default;

int agent_process::run()
{
    return impl_->run();
}

} // namespace tanagertrack::agent
