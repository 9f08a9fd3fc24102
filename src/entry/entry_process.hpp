#ifndef TANAGERTRACK_ENTRY_ENTRY_PROCESS_HPP
#define TANAGERTRACK_ENTRY_ENTRY_PROCESS_HPP

#include "config/settings.hpp"

#include <functional>
#include <memory>
#include <system_error>

namespace tanagertrack::entry
{

/// Role entry: the listeners, the threads and all parts of an entry.
class entry_process
{
public:
    /// `settings` is checked and outlives the process.
    explicit entry_process(const config::settings& settings);
    ~entry_process();

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// Binds the listeners and starts the threads. Returns the first error of
    /// a listener.
    std::error_code start();

    /// Planned stop: finishes the requests in progress, within the grace of
    /// the settings. Blocks. After it nothing runs any more.
    void stop();

    /// Starts, waits for SIGTERM or SIGINT, and stops. A second signal ends
    /// the process at once. Returns the exit status.
    int run();

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace tanagertrack::entry

#endif
