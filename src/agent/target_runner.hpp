#ifndef TANAGERTRACK_AGENT_TARGET_RUNNER_HPP
#define TANAGERTRACK_AGENT_TARGET_RUNNER_HPP

#include "services/target_service.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace tanagertrack::common
{
class duty_thread;
} // namespace tanagertrack::common

namespace tanagertrack::agent
{

/// One event of a streamed answer.
struct target_event
{
    /// Payload of the server-sent event.
    std::string data;

    /// Text in it; empty for a plain service.
    std::string text;
};

/// What the owner of a run is told, on the peer thread.
struct target_run_hooks
{
    std::function<void()> on_sent;
    std::function<void(const target_event&)> on_event;
    std::function<void(services::target_answer)> on_finished;

    /// Codes as of `services::target_hooks`; `overloaded` when the events
    /// that wait for the peer thread are over their limit.
    std::function<void(std::error_code)> on_failed;
};

/// One call at the target. Peer thread.
class target_run
{
public:
    virtual ~target_run() = default;

    /// Ends the call at the target. No hook is called afterwards.
    virtual void cancel() = 0;
};

/// Runs calls on the target thread and delivers their events, in order and
/// with bounded memory, on the peer thread.
class target_runner
{
public:
    /// `service` is used on the target thread. `max_waiting_bytes` limits the
    /// events of one call that wait for the peer thread.
    target_runner(common::duty_thread& peer, common::duty_thread& target,
                  services::target_service service,
                  std::size_t max_waiting_bytes);

    /// Starts a call; `extract_text` fills `target_event::text`. Null, and
    /// nothing was started, when the target thread's ring is full.
    std::shared_ptr<target_run> start(services::target_request request,
                                      bool extract_text,
                                      target_run_hooks hooks);

private:
    common::duty_thread& peer_;
    common::duty_thread& target_;
    const services::target_service service_;
    const std::size_t max_waiting_bytes_;
};

} // namespace tanagertrack::agent

#endif
