#include "entry/entry_process.hpp"

#include "common/logging.hpp"
#include "entry/lifecycle.hpp"
#include "entry/state_exchange.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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

/// Time between looks at the settings file.
constexpr auto reload_interval = std::chrono::seconds(5);

std::string join(const std::vector<std::string>& keys)
{
    std::string out;
    for (const auto& it : keys)
        out += (out.empty() ? "" : ",") + it;
    return out.empty() ? "none" : out;
}

} // namespace

struct entry_process::impl
{
    impl(config::settings values, process_parts parts)
        : settings(std::move(values)), metrics(settings.max_metric_series),
          core(context, settings, metrics,
               parts.make_core_parts(context, metrics)),
          life(make_lifecycle_hooks()),
          outside(parts.make_edge(
              core, [this] { life.note_targets(); },
              [this] { return life.current() == phase::serving; })),
          states(context, settings, outside,
                 [this] { return life.current() == phase::starting; }),
          read_settings(std::move(parts.read_settings)), tick_timer(context),
          signals(context, SIGTERM, SIGINT, SIGHUP)
    {
        core.on_configured(
            [this](const fleet::configuration_ptr& it)
            {
                outside.configured(it);
                life.note_configuration();
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
        else if (now - last_reload >= reload_interval)
            reload();
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
            life.note_callers_gone();
        if (life.current() == phase::closing)
        {
            outside.close();
            if (outside.in_progress() == 0)
                life.note_idle();
        }
        if (since >= settings.stop.grace - stop_margin)
            life.note_grace_over();
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
        {
            common::log_info("settings_reload", {});
            return reload();
        }
        if (stop_asked_at)
        {
            // A second one asks for an immediate end.
            common::log_warning("entry_stop_forced", {});
            return context.stop();
        }
        stop_asked_at = common::clock::now();
        life.stop();
    }

    /// Reads the settings file, which may change without a signal as well.
    void reload()
    {
        last_reload = common::clock::now();
        const auto next = read_settings ? read_settings() : std::nullopt;
        if (!next)
            return;
        const auto changed = config::changed_keys(settings, *next);
        if (changed == known_changes)
            return;
        known_changes = config::take_changes(settings, *next);
        common::log_info(
            "settings_changed",
            {{"keys", join(changed)}, {"need_restart", join(known_changes)}});
        core.reload();
    }

    /// Serves until the context is stopped. An exception in a handler is a
    /// defect; it must not end the process with all other requests on it.
    void serve()
    {
        while (!context.stopped())
        {
            try
            {
                context.run();
            }
            catch (const std::exception& e)
            {
                exceptions.add();
                common::log_error("handler_exception", {{"what", e.what()}});
            }
        }
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
        last_reload = common::clock::now();
        tick();
        serve();
        common::log_info("entry_stopped",
                         {{"requests", outside.in_progress()}});
        return EXIT_SUCCESS;
    }

    config::settings settings;
    asio::io_context context{1};
    common::metrics_registry metrics;
    common::counter& exceptions =
        metrics.get_counter("tanagertrack_handler_exceptions_total",
                            "Handlers that ended with an exception.");
    entry_core core;
    lifecycle life;
    edge outside;
    state_exchange states;
    std::function<std::optional<config::settings>()> read_settings;
    common::time_point last_reload;

    /// Keys that differ in the file and need a restart.
    std::vector<std::string> known_changes;
    asio::steady_timer tick_timer;
    asio::signal_set signals;
    std::optional<common::time_point> stop_asked_at;
};

entry_process::entry_process(config::settings settings, process_parts parts)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(parts)))
{
}

entry_process::~entry_process() = default;

int entry_process::run()
{
    return impl_->run();
}

} // namespace tanagertrack::entry
