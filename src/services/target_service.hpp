#ifndef TANAGERTRACK_SERVICES_TARGET_SERVICE_HPP
#define TANAGERTRACK_SERVICES_TARGET_SERVICE_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>

namespace tanagertrack::services
{

/// A call to a target: a model engine or a plain service.
struct target_request
{
    std::string method = "POST";
    std::string path;
    std::string content_type = "application/json";
    std::string body;

    /// Identifies the attempt in the target's log (header X-Work-Id).
    std::string work_id;

    /// Whether the call may be sent a second time when a connection kept from
    /// an earlier call turns out to be closed. Other calls get a connection
    /// of their own and are sent once.
    bool repeatable = true;

    /// Whether the answer comes as server-sent events.
    bool stream = false;

    /// Time after which the call is ended.
    std::chrono::milliseconds timeout{60000};
};

/// A whole answer of a target.
struct target_answer
{
    unsigned http_status = 0;
    std::string content_type;

    /// Empty for streamed answers with status 200.
    std::string body;
};

/// What the caller is told; all on the context's thread.
struct target_hooks
{
    /// The request is about to be written: it may run from here on.
    std::function<void()> on_sent;

    /// Payload of one server-sent event, without "[DONE]".
    std::function<void(std::string_view data)> on_event;

    /// The answer is complete (any HTTP status).
    std::function<void(target_answer)> on_finished;

    /// No complete answer: `no_target` when no connection was made and nothing
    /// was sent, `deadline_before_start` when the time for that was over;
    /// `connection_lost`, `deadline_exceeded`, or `protocol_error` (not HTTP,
    /// or over a limit) after `on_sent`.
    std::function<void(std::error_code)> on_failed;
};

/// Cancels a call: closes its connection. No hook is called afterwards.
/// Harmless after the call has ended.
using target_cancel = std::function<void()>;

/// Report of load as the engine publishes it, late.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t age_ms = 0;
};

/// An order to an engine, with the fencing number under which it was given.
struct target_order
{
    std::string order; ///< "load_model", "load_adapter", "set_role"
    std::string model;
    std::string role;
    std::uint64_t fencing = 0;
};

/// The one target beside an agent. Calls on one thread.
struct target_service
{
    std::function<target_cancel(target_request request, target_hooks hooks)>
        call;
    std::function<void(std::function<void(std::error_code, load_report)>)> load;
    std::function<void(target_order, std::function<void(std::error_code)>)>
        order;
};

} // namespace tanagertrack::services

#endif
