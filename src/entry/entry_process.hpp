#ifndef TANAGERTRACK_ENTRY_ENTRY_PROCESS_HPP
#define TANAGERTRACK_ENTRY_ENTRY_PROCESS_HPP

#include "common/metrics.hpp"
#include "config/settings.hpp"
#include "entry/edge.hpp"
#include "entry/entry_core.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace tanagertrack::entry
{

/// What a process is made of.
struct process_parts
{
    std::function<core_parts(boost::asio::io_context&,
                             common::metrics_registry&)>
        make_core_parts;

    /// Makes the edge; what it returns uses the core and the lifecycle's
    /// hooks for as long as the process lives.
    std::function<edge(entry_core&, std::function<void()> targets_known,
                       std::function<bool()> is_ready)>
        make_edge;

    /// Reads the settings file again; nothing, and a log line, when it is not
    /// accepted.
    std::function<std::optional<config::settings>()> read_settings;
};

/// An entry: the core, one edge, signals, and the process's life. All runs on
/// the thread that calls `run`: the users' machines have half a core, and
/// charge each wake-up.
class entry_process
{
public:
    entry_process(config::settings settings, process_parts parts);
    ~entry_process();

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// Serves until a planned stop has ended. Returns the exit status.
    int run();

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace tanagertrack::entry

#endif
