#ifndef TANAGERTRACK_ENTRY_EDGE_HPP
#define TANAGERTRACK_ENTRY_EDGE_HPP

#include "fleet/configuration.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>

namespace tanagertrack::entry
{

/// What speaks to callers and operators, and follows their configuration: the
/// product's own interface, or the adapter to the users' platform. Hooks; all
/// on the process's thread.
struct edge
{
    /// Listens, and starts to follow configuration and targets.
    std::function<std::error_code()> start;

    /// A configuration came into effect.
    std::function<void(const fleet::configuration_ptr&)> configured;

    /// Ends connections with their next answer.
    std::function<void()> drain;

    /// Accepts no connections any more and closes those at rest.
    std::function<void()> close;

    /// Requests whose answer is not handed to the socket.
    std::function<std::size_t()> in_progress;

    /// What this process knows of configuration and targets, for one that
    /// starts while the store is away; and taking such knowledge over.
    std::function<std::string()> export_state;
    std::function<void(std::string_view)> import_state;
};

} // namespace tanagertrack::entry

#endif
