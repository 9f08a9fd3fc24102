#ifndef TANAGERTRACK_ENTRY_LIFECYCLE_HPP
#define TANAGERTRACK_ENTRY_LIFECYCLE_HPP

#include <functional>
#include <memory>

namespace tanagertrack::entry
{

/// Phase of an entry's life.
enum class phase
{
    /// Has no configuration, or does not know the targets.
    starting,

    /// Takes callers.
    serving,

    /// A planned stop began: callers should go elsewhere, but are served.
    draining,

    /// Accepts no connections; requests under way are finished.
    closing,
    stopped
};

/// Called when a phase begins.
struct lifecycle_hooks
{
    std::function<void()> on_serving;
    std::function<void()> on_draining;
    std::function<void()> on_closing;
    std::function<void()> on_stopped;
};

/// Life of an entry, a Boost.MSM machine:
///
///     starting --configured and targets known--> serving
///     starting, serving --stop asked--> draining
///     draining --callers had time to leave--> closing
///     closing --nothing under way--> stopped
///     draining, closing --grace period over--> stopped
///
/// One thread.
class lifecycle
{
public:
    explicit lifecycle(lifecycle_hooks hooks);
    ~lifecycle();

    lifecycle(const lifecycle&) = delete;
    lifecycle& operator=(const lifecycle&) = delete;

    /// There is a configuration in effect.
    void handle_configuration();

    /// The targets are known.
    void handle_targets_known();

    /// A planned stop was asked for.
    void stop();

    /// Callers had time to learn that the entry stops.
    void handle_callers_gone();

    /// No request is under way.
    void handle_idle();

    /// The grace period of the stop is over.
    void handle_grace_expired();

    phase current() const;

private:
    struct machine;

    std::unique_ptr<machine> machine_;
};

} // namespace tanagertrack::entry

#endif
