#ifndef TANAGERTRACK_ENTRY_EDGE_HPP
#define TANAGERTRACK_ENTRY_EDGE_HPP

#include "fleet/configuration.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace tanagertrack::entry
{

/// Interface of an entry to callers and operators, and its source of
/// configuration and targets: either the product's own interface, or the
/// adapter to the users' platform. All functions are called on the thread of
/// the process's io_context.
struct edge
{
    /// Listens for connections and starts to follow configuration and targets.
    /// Returns an error if an address can't be bound.
    std::function<std::error_code()> start;

    /// Called with each configuration that comes into effect.
    std::function<void(const fleet::configuration_ptr&)> handle_configuration;

    /// Makes each connection close after its next response.
    std::function<void()> drain;

    /// Stops accepting connections and closes the idle ones. Called repeatedly
    /// until no request is in progress.
    std::function<void()> close;

    /// Returns the number of requests whose response is not yet written to the
    /// socket.
    std::function<std::size_t()> in_progress;

    /// Returns the known configuration and targets in serialized form, for a
    /// process that starts while the store is unreachable.
    std::function<std::string()> export_state;

    /// Applies a state that another process has exported.
    std::function<void(std::string_view)> import_state;
};

/// Creates an edge whose functions call the member functions of the same names
/// of `impl`, which the edge keeps alive.
template<typename Impl>
edge make_edge(const std::shared_ptr<Impl>& impl)
{
    edge out;
    out.start = [impl]
    {
        return impl->start();
    };
    out.handle_configuration =
        [impl](const fleet::configuration_ptr& configuration)
    {
        impl->handle_configuration(configuration);
    };
    out.drain = [impl]
    {
        impl->drain();
    };
    out.close = [impl]
    {
        impl->close();
    };
    out.in_progress = [impl]
    {
        return impl->in_progress();
    };
    out.export_state = [impl]
    {
        return impl->export_state();
    };
    out.import_state = [impl](std::string_view bytes)
    {
        impl->import_state(bytes);
    };
    return out;
}

} // namespace tanagertrack::entry

#endif
