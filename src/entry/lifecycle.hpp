#ifndef TANAGERTRACK_ENTRY_LIFECYCLE_HPP
#define TANAGERTRACK_ENTRY_LIFECYCLE_HPP

#include <functional>
#include <memory>

namespace tanagertrack::entry
{

/// Phase of an entry process.
enum class phase
{
    /// Waits for the configuration or the targets.
    starting,

    /// Serves callers.
    serving,

    /// A planned stop has begun: requests are still served while callers move
    /// to other entries.
    draining,

    /// Accepts no connections; requests in progress are finished.
    closing,
    stopped
};

/// Hooks that are called when a phase begins. Each one is optional.
struct lifecycle_hooks
{
    std::function<void()> on_serving;
    std::function<void()> on_draining;
    std::function<void()> on_closing;
    std::function<void()> on_stopped;
};

/// State machine for the phases of an entry process, implemented with
/// Boost.MSM:
///
///     starting --configuration and targets known--> serving
///     starting, serving --stop requested--> draining
///     draining --callers had time to leave--> closing
///     closing --no request in progress--> stopped
///     draining, closing --grace period expired--> stopped
///
/// An event that has no transition in the current phase is ignored. Not
/// thread-safe; hooks run within the calls.
class lifecycle
{
public:
    explicit lifecycle(lifecycle_hooks hooks);
    ~lifecycle();

    lifecycle(const lifecycle&) = delete;
    lifecycle& operator=(const lifecycle&) = delete;

    /// Call when a configuration is in effect. Repeated calls are ignored.
    void handle_configuration();

    /// Call when the targets are known. Repeated calls are ignored.
    void handle_targets_known();

    /// Begins a planned stop.
    void stop();

    /// Call when callers had time to notice that the entry stops.
    void handle_callers_gone();

    /// Call when no request is in progress.
    void handle_idle();

    /// Call when the grace period of the stop has expired.
    void handle_grace_expired();

    phase current() const;

private:
    struct machine;

    std::unique_ptr<machine> machine_;
};

} // namespace tanagertrack::entry

#endif
