#ifndef TANAGERTRACK_ENTRY_ENTRY_PROCESS_HPP
#define TANAGERTRACK_ENTRY_ENTRY_PROCESS_HPP

#include "common/metrics.hpp"
#include "config/settings.hpp"
#include "entry/edge.hpp"
#include "entry/entry_core.hpp"

#include <functional>
#include <memory>

namespace tanagertrack::entry
{

/// Factories of the parts of a process that depend on the deployment.
struct process_parts
{
    std::function<core_parts(boost::asio::io_context&,
                             common::metrics_registry&)>
        make_core_parts;

    /// Creates the edge, which uses the core and the two functions for as long
    /// as the process runs. It calls `targets_known` when the targets are
    /// known; `is_ready` returns true while the process serves callers.
    std::function<edge(entry_core&, std::function<void()> targets_known,
                       std::function<bool()> is_ready)>
        make_edge;
};

/// An entry process: the core, one edge, handling of signals, and the
/// lifecycle. Everything runs on the thread that calls run(), because the
/// users' machines provide half a core, against which each wake-up of a thread
/// counts.
class entry_process
{
public:
    /// `settings` must outlive the object.
    entry_process(const config::settings& settings, process_parts parts);
    ~entry_process();

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// Serves until a planned stop has ended or a second signal forces an exit.
    /// Returns the exit status.
    int run();

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace tanagertrack::entry

#endif
