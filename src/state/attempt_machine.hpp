#ifndef TANAGERTRACK_STATE_ATTEMPT_MACHINE_HPP
#define TANAGERTRACK_STATE_ATTEMPT_MACHINE_HPP

#include <cstdint>
#include <memory>

namespace tanagertrack::state
{

/// Progress of one attempt to run a request or item on a target.
enum class attempt_state : std::uint8_t
{
    /// Sent to the agent; not known to be with the target.
    starting,

    /// The agent handed the work to the target.
    accepted,

    // Final states.
    finished,
    failed,
    preempted,
    refused,
    cancelled
};

/// What the owner of an attempt has to do after an event.
enum class attempt_action : std::uint8_t
{
    nothing,
    report_accepted,
    report_text,
    report_finished,

    /// The work failed or may have failed; see `may_have_run`.
    report_failed,
    report_preempted,
    report_refused,

    /// Reset the stream and report nothing.
    reset_stream
};

/// One attempt, from the side of the entry. Reports exactly one end, and
/// nothing after it: late events of a reset or lost stream have no effect.
/// Pure; one thread.
class attempt_machine
{
public:
    attempt_machine();
    ~attempt_machine();

    attempt_machine(attempt_machine&&) noexcept;
    attempt_machine& operator=(attempt_machine&&) noexcept;

    attempt_state state() const;

    /// Whether the target may have run the work, in part or in full. False
    /// only where it is certain that it did not.
    bool may_have_run() const;

    /// Whether the attempt is in a final state.
    bool ended() const;

    /// The stream's request was handed to the transport: from here on, loss
    /// of the connection leaves open whether the work runs.
    void sent();

    // Events of the stream.
    attempt_action accepted();
    attempt_action text();
    attempt_action finished();
    attempt_action failed(bool may_have_run);
    attempt_action preempted();
    attempt_action refused();

    /// The stream or its connection ended without an end event, or the
    /// deadline has passed. Reports refused if the request was never sent.
    attempt_action lost();

    /// The owner gives the attempt up.
    attempt_action cancel();

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace tanagertrack::state

#endif
