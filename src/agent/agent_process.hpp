#ifndef TANAGERTRACK_AGENT_AGENT_PROCESS_HPP
#define TANAGERTRACK_AGENT_AGENT_PROCESS_HPP

#include "config/settings.hpp"

#include <memory>

namespace tanagertrack::agent
{

/// Role agent: the only path to the target beside it.
class agent_process
{
public:
    /// `settings` are those of a process with role agent.
    explicit agent_process(config::settings settings);
    ~agent_process();

    agent_process(const agent_process&) = delete;
    agent_process& operator=(const agent_process&) = delete;

    /// Serves until SIGTERM or SIGINT, then stops as planned; a second signal
    /// ends the process at once. Returns the exit status: 0 after a planned
    /// stop, 1 when a listener can't be opened.
    int run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tanagertrack::agent

#endif
