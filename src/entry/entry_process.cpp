#include "entry/entry_process.hpp"

#include "common/duty_thread.hpp"
#include "common/logging.hpp"
#include "common/metrics.hpp"
#include "entry/batch_service.hpp"
#include "entry/caller_exchange.hpp"
#include "entry/config_follower.hpp"
#include "entry/config_puller.hpp"
#include "entry/front_service.hpp"
#include "entry/host_follower.hpp"
#include "entry/online_router.hpp"
#include "entry/operator_service.hpp"
#include "entry/target_pool.hpp"
#include "http/http_server.hpp"
#include "services/http_log.hpp"
#include "transport/peer_options.hpp"
#include "transport/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <future>
#include <memory>
#include <thread>
#include <utility>

namespace tanagertrack::entry
{

using common::result_code;
using std::chrono::milliseconds;

namespace
{

/// Time between looks at the requests in progress during a stop.
constexpr auto stop_poll_interval = milliseconds(10);

/// Time for internal streams of other entries to end after GOAWAY.
constexpr auto peer_stop_time = milliseconds(1000);

http::http_settings front_http(const config::settings& it)
{
    http::http_settings settings;
    settings.name = "front";
    settings.max_connections = it.front.max_connections;
    settings.max_header_bytes = it.front.max_header_bytes;
    settings.read_timeout = it.front.read_timeout;
    settings.write_timeout = it.front.write_timeout;
    return settings;
}

http::http_settings operator_http()
{
    http::http_settings settings;
    settings.name = "operator";
    settings.max_connections = 64;
    return settings;
}

services::http_log_settings log_settings(const config::settings& it)
{
    services::http_log_settings settings;
    settings.address = it.platform.log;
    settings.timeout = it.platform.log_timeout;
    return settings;
}

} // namespace

struct entry_process::impl
{
    explicit impl(const config::settings& values)
        : settings(values), metrics(values.max_metric_series),
          front_thread("front", values.ring_capacity),
          peer_thread("peer", values.ring_capacity),
          log_thread("log", values.ring_capacity),
          batch_thread("batch", values.ring_capacity),
          log(services::make_http_log(log_thread.context(),
                                      log_settings(values))),
          pool(peer_thread.context(), values, metrics),
          router(values, metrics, pool, peer_thread),
          puller(peer_thread.context(), transport::make_peer_options(values),
                 values.peer.entries,
                 [this](proto::ConfigPush push)
                 { follower.load(std::move(push)); }),
          hosts(peer_thread.context(),
                services::make_http_host_list(peer_thread.context(),
                                              values.platform.hosts),
                values.platform.hosts_interval, pool),
          follower({values, metrics, config, log_thread, log,
                    [this]
                    {
                        ask_peers();
                    }}),
          batch({values, metrics, config, batch_thread, log_thread, peer_thread,
                 pool}),
          front({values, metrics, config, router, peer_thread, batch_thread,
                 make_batch_calls()}),
          operators(
              {values, metrics, config, follower, front, peer_thread, pool}),
          front_server(front_thread.context(), front_http(values),
                       [this](const http::http_exchange_ptr& it)
                       { front.handle(it); }),
          operator_server(front_thread.context(), operator_http(),
                          [this](const http::http_exchange_ptr& it)
                          { operators.handle(it); }),
          peer_server(peer_thread.context(),
                      transport::make_peer_options(values),
                      [this](const transport::message_stream_ptr& it)
                      { handle_stream(it); })
    {
        config.on_change([this](const config_view::snapshot& it)
                         { config_changed(it); });
    }

    void ask_peers()
    {
        peer_thread.post_completion([this] { puller.pull(); });
    }

    void config_changed(const config_view::snapshot& it)
    {
        peer_thread.post_completion([this, it] { pool.set_config(it); });
    }

    batch_calls make_batch_calls()
    {
        // Called after construction only.
        batch_calls calls;
        calls.handle_batches = [this](const exchange_ptr& request)
        {
            batch.handle_batches(request);
        };
        calls.handle_call_once =
            [this](const exchange_ptr& request, const std::string& service)
        {
            batch.handle_call_once(request, service);
        };
        return calls;
    }

    void handle_stream(const transport::message_stream_ptr& stream)
    {
        if (stream->path() == "/config")
            return answer_config(stream);
        if (stream->path() == "/forward")
            return batch.handle_forward(stream);
        common::log_warning("stream_path_unknown", {{"path", stream->path()}});
        stream->reset();
    }

    void answer_config(const transport::message_stream_ptr& stream)
    {
        stream->set_hooks({});
        if (const auto push = follower.make_push())
            stream->send(*push);
        stream->finish();
    }

    const config::settings& settings;
    common::metrics_registry metrics;
    config_view config;
    common::duty_thread front_thread;
    common::duty_thread peer_thread;
    common::duty_thread log_thread;
    common::duty_thread batch_thread;
    services::log_service log;

    // On the `peer` thread.
    target_pool pool;
    online_router router;
    config_puller puller;
    host_follower hosts;

    // On the `log` thread.
    config_follower follower;

    // On the `batch` thread.
    batch_service batch;

    // On the `front` thread.
    front_service front;
    operator_service operators;
    http::http_server front_server;
    http::http_server operator_server;

    // On the `peer` thread.
    transport::server peer_server;
    bool running = false;
};

entry_process::entry_process(const config::settings& settings)
    : impl_(std::make_unique<impl>(settings))
{
}

entry_process::~entry_process()
{
    stop();
}

std::error_code entry_process::start()
{
    auto& it = *impl_;
    const auto& at = it.settings;
    auto ec = it.peer_server.listen({at.address, at.peer.port});
    if (!ec)
        ec = it.operator_server.listen({at.address, at.operators.port});
    if (!ec)
        ec = it.front_server.listen({at.address, at.front.port});
    if (ec)
        return ec;
    it.running = true;
    it.follower.start();
    it.batch.start();
    if (at.platform.hosts.port != 0)
        it.peer_thread.post_completion([&it] { it.hosts.start(); });
    for (auto* thread :
         {&it.log_thread, &it.peer_thread, &it.batch_thread, &it.front_thread})
        thread->start();
    common::log_info("entry_started", {{"name", at.name}});
    return {};
}

void entry_process::stop()
{
    auto& it = *impl_;
    if (!std::exchange(it.running, false))
        return;
    common::log_info("entry_stopping", {{"requests", it.front.in_progress()}});
    const auto deadline = common::clock::now() + it.settings.stop.grace;
    it.front.stop();

    // Without the second, an answer that is still to be written would be cut.
    const auto busy = [&it]
    {
        return it.front.in_progress() > 0 || it.front_server.serving() > 0;
    };
    while (busy() && common::clock::now() < deadline)
        std::this_thread::sleep_for(stop_poll_interval);

    // Partitions go to other entries; without the log they can't.
    const auto released = std::make_shared<std::promise<void>>();
    it.batch.stop([released] { released->set_value(); });
    released->get_future().wait_until(deadline);

    // Other entries see GOAWAY and open no further streams.
    it.peer_thread.post_completion([&it] { it.peer_server.stop_accepting(); });
    const auto peer_deadline = common::clock::now() + peer_stop_time;
    for (bool open = true; open && common::clock::now() < peer_deadline;)
    {
        std::promise<std::size_t> streams;
        it.peer_thread.post_completion(
            [&] { streams.set_value(it.peer_server.open_streams()); });
        open = streams.get_future().get() > 0;
        if (open)
            std::this_thread::sleep_for(stop_poll_interval);
    }
    for (auto* thread :
         {&it.front_thread, &it.batch_thread, &it.peer_thread, &it.log_thread})
        thread->stop();
    it.router.close();
    common::log_info("entry_stopped", {{"requests", it.front.in_progress()}});
}

int entry_process::run()
{
    // Signals are waited for here; all other threads start after this.
    boost::asio::io_context context{1};
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    std::signal(SIGPIPE, SIG_IGN);
    if (const auto ec = start())
    {
        common::log_error("listen_failed", {{"what", ec.message()}});
        return EXIT_FAILURE;
    }
    std::thread stopper;
    const auto on_second = [](const auto& ec, int)
    {
        if (!ec)
            std::_Exit(EXIT_FAILURE);
    };
    signals.async_wait(
        [&](const auto& ec, int)
        {
            if (ec)
                return;
            signals.async_wait(on_second);
            stopper = std::thread(
                [&]
                {
                    stop();
                    context.stop();
                });
        });
    context.run();
    if (stopper.joinable())
        stopper.join();
    return EXIT_SUCCESS;
}

} // namespace tanagertrack::entry
