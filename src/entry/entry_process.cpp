#include "entry/entry_process.hpp"

#include "common/logging.hpp"
#include "entry/lifecycle.hpp"
#include "entry/state_exchange.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <cstdlib>
#include <optional>
#include <utility>

namespace tanagertrack::entry
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

/// Interval of the periodic work: flushing the log, expiring lapsed targets,
/// and continuing a planned stop.
constexpr auto check_interval = milliseconds(100);

/// The process exits this long before the end of the grace period, even if
/// requests are in progress.
constexpr auto stop_margin = milliseconds(400);

} // namespace

struct entry_process::impl
{
    impl(const config::settings& values, process_parts parts)
        : settings(values), metrics(values.max_metric_series),
          core(context, values, metrics,
               parts.make_core_parts(context, metrics)),
          process_lifecycle(make_lifecycle_hooks()),
          entry_edge(parts.make_edge(
              core, [this] { process_lifecycle.handle_targets_known(); },
              [this]
              { return process_lifecycle.current() == phase::serving; })),
          exchange(context, values, entry_edge,
                   [this]
                   { return process_lifecycle.current() == phase::starting; }),
          check_timer(context), signals(context, SIGTERM, SIGINT, SIGHUP)
    {
        core.on_configured(
            [this](const fleet::configuration_ptr& configuration)
            {
                entry_edge.handle_configuration(configuration);
                process_lifecycle.handle_configuration();
            });
    }

    lifecycle_hooks make_lifecycle_hooks()
    {
        lifecycle_hooks hooks;
        hooks.on_serving = []
        {
            common::log_info("entry_ready", {});
        };
        hooks.on_draining = [this]
        {
            common::log_info("entry_stopping",
                             {{"requests", entry_edge.in_progress()}});
            entry_edge.drain();
            core.stop();
        };
        hooks.on_closing = [this]
        {
            entry_edge.close();
        };
        hooks.on_stopped = [this]
        {
            context.stop();
        };
        return hooks;
    }

    void run_checks()
    {
        const auto now = common::clock::now();
        core.run_checks(now);
        if (stop_requested_at)
            continue_stop(now - *stop_requested_at);
        common::flush_log();
        check_timer.expires_after(check_interval);
        check_timer.async_wait(
            [this](const auto& ec)
            {
                if (!ec)
                    run_checks();
            });
    }

    void continue_stop(common::duration elapsed)
    {
        if (elapsed >= settings.stop.listen)
            process_lifecycle.handle_callers_gone();
        if (process_lifecycle.current() == phase::closing)
        {
            entry_edge.close();
            if (entry_edge.in_progress() == 0)
                process_lifecycle.handle_idle();
        }
        if (elapsed >= settings.stop.grace - stop_margin)
            process_lifecycle.handle_grace_expired();
    }

    void wait_for_signals()
    {
        signals.async_wait(
            [this](const auto& ec, int signal_number)
            {
                if (ec)
                    return;
                handle_signal(signal_number);
                wait_for_signals();
            });
    }

    void handle_signal(int signal_number)
    {
        if (signal_number == SIGHUP)
            return common::log_info(
                "settings_reload",
                {{"changed", "nothing: settings are read only at start"}});
        if (stop_requested_at)
        {
            // A second signal forces an immediate exit.
            common::log_warning("entry_stop_forced", {});
            return context.stop();
        }
        stop_requested_at = common::clock::now();
        process_lifecycle.stop();
    }

    int run()
    {
        std::signal(SIGPIPE, SIG_IGN);
        if (const auto ec = entry_edge.start())
        {
            common::log_error("listen_failed", {{"what", ec.message()}});
            return EXIT_FAILURE;
        }
        common::log_info("entry_started",
                         {{"name", settings.name},
                          {"data_centre", settings.data_centre},
                          {"callers", settings.callers}});
        core.start();
        exchange.start();
        wait_for_signals();
        run_checks();
        context.run();
        common::log_info("entry_stopped",
                         {{"requests", entry_edge.in_progress()}});
        return EXIT_SUCCESS;
    }

    const config::settings& settings;
    asio::io_context context{1};
    common::metrics_registry metrics;
    entry_core core;
    lifecycle process_lifecycle;
    edge entry_edge;
    state_exchange exchange;
    asio::steady_timer check_timer;
    asio::signal_set signals;
    std::optional<common::time_point> stop_requested_at;
};

entry_process::entry_process(const config::settings& settings,
                             process_parts parts)
    : impl_(std::make_unique<impl>(settings, std::move(parts)))
{
}

entry_process::~entry_process() = default;

int entry_process::run()
{
    return impl_->run();
}

} // namespace tanagertrack::entry
