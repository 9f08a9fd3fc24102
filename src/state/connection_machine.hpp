#ifndef TANAGERTRACK_STATE_CONNECTION_MACHINE_HPP
#define TANAGERTRACK_STATE_CONNECTION_MACHINE_HPP

#include <cstdint>
#include <memory>

namespace tanagertrack::state
{

/// State of the connection to one target's agent.
enum class connection_state : std::uint8_t
{
    down,
    connecting,
    up,

    /// The target left or is no longer wanted: no new work; closed when the
    /// last attempt has ended.
    draining
};

/// What the owner of a connection has to do after an event.
enum class connection_action : std::uint8_t
{
    nothing,
    open,

    /// The target may be given work.
    use,

    /// Wait for the back-off's next delay, then call `retry`.
    wait,

    /// End all attempts on the connection as lost, then as for `wait`.
    fail_attempts_and_wait,

    /// End all attempts on the connection as lost; don't connect again.
    fail_attempts,

    /// Give the target no new work.
    stop_new_work,
    close
};

/// Connection of an entry to one agent. Pure; one thread.
class connection_machine
{
public:
    connection_machine();
    ~connection_machine();

    connection_machine(connection_machine&&) noexcept;
    connection_machine& operator=(connection_machine&&) noexcept;

    connection_state state() const;

    /// Whether the target may be given work.
    bool usable() const;

    /// The target is wanted. While draining: it is used again.
    connection_action want();

    /// The connection stands.
    connection_action opened();

    /// The connection could not be opened, or was lost.
    connection_action lost();

    /// The delay after `wait` has passed.
    connection_action retry();

    /// The target leaves or is no longer wanted. `idle`: no attempt runs on
    /// the connection.
    connection_action leave(bool idle);

    /// The last attempt on the connection has ended.
    connection_action became_idle();

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace tanagertrack::state

#endif
