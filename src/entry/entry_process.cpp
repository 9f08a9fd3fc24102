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

/// Time between looks at what waits for time alone: log lines, lapsed targets,
/// the end of a planned stop.
constexpr auto tick_interval = milliseconds(100);

/// Before the end of the grace period the process ends with requests still
/// under way.
constexpr auto stop_margin = milliseconds(400);

} // namespace

struct entry_process::impl
{
    impl(const config::settings& values, process_parts parts)
        : settings(values), metrics(values.max_metric_series),
          core(context, values, metrics,
               parts.make_core_parts(context, metrics)),
          life(make_lifecycle_hooks()),
          outside(parts.make_edge(
              core, [this] { life.handle_targets_known(); },
              [this] { return life.current() == phase::serving; })),
          states(context, values, outside,
                 [this] { return life.current() == phase::starting; }),
          tick_timer(context), signals(context, SIGTERM, SIGINT, SIGHUP)
    {
        core.on_configured(
            [this](const fleet::configuration_ptr& it)
            {
                outside.configured(it);
                life.handle_configuration();
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
                             {{"requests", outside.in_progress()}});
            outside.drain();
            core.stop();
        };
        hooks.on_closing = [this]
        {
            outside.close();
        };
        hooks.on_stopped = [this]
        {
            context.stop();
        };
        return hooks;
    }

    void tick()
    {
        const auto now = common::clock::now();
        core.tick(now);
        if (stop_asked_at)
            continue_stop(now - *stop_asked_at);
        common::flush_log();
        tick_timer.expires_after(tick_interval);
        tick_timer.async_wait(
            [this](const auto& ec)
            {
                if (!ec)
                    tick();
            });
    }

    void continue_stop(common::duration since)
    {
        if (since >= settings.stop.listen)
            life.handle_callers_gone();
        if (life.current() == phase::closing)
        {
            outside.close();
            if (outside.in_progress() == 0)
                life.handle_idle();
        }
        if (since >= settings.stop.grace - stop_margin)
            life.handle_grace_expired();
    }

    void wait_for_signals()
    {
        signals.async_wait(
            [this](const auto& ec, int number)
            {
                if (ec)
                    return;
                take_signal(number);
                wait_for_signals();
            });
    }

    void take_signal(int number)
    {
        if (number == SIGHUP)
            return common::log_info("settings_reload",
                                    {{"changed", "nothing in use"}});
        if (stop_asked_at)
        {
            // A second one asks for an immediate end.
            common::log_warning("entry_stop_forced", {});
            return context.stop();
        }
        stop_asked_at = common::clock::now();
        life.stop();
    }

    int run()
    {
        std::signal(SIGPIPE, SIG_IGN);
        if (const auto ec = outside.start())
        {
            common::log_error("listen_failed", {{"what", ec.message()}});
            return EXIT_FAILURE;
        }
        common::log_info("entry_started",
                         {{"name", settings.name},
                          {"data_centre", settings.data_centre},
                          {"callers", settings.callers}});
        core.start();
        states.start();
        wait_for_signals();
        tick();
        context.run();
        common::log_info("entry_stopped",
                         {{"requests", outside.in_progress()}});
        return EXIT_SUCCESS;
    }

    const config::settings& settings;
    asio::io_context context{1};
    common::metrics_registry metrics;
    entry_core core;
    lifecycle life;
    edge outside;
    state_exchange states;
    asio::steady_timer tick_timer;
    asio::signal_set signals;
    std::optional<common::time_point> stop_asked_at;
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
