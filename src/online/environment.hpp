#ifndef TANAGERTRACK_ONLINE_ENVIRONMENT_HPP
#define TANAGERTRACK_ONLINE_ENVIRONMENT_HPP

#include "common/result_code.hpp"
#include "online/call.hpp"
#include "routing/placement.hpp"
#include "routing/prompt.hpp"
#include "targets/protocol.hpp"
#include "targets/target_set.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::common
{
class metrics_registry;
} // namespace tanagertrack::common

namespace tanagertrack::online
{

/// Timeouts and limits of online requests.
struct online_settings
{
    /// A resumable stream whose target has not sent its first event after this
    /// time is started on another target.
    std::chrono::milliseconds first_event_timeout{700};

    /// After its first event, a resumable stream is continued on another target
    /// when nothing is received for this share (0 to 1) of the route's
    /// `gap_objective`. The remaining share is for the new target to send its
    /// first event.
    double gap_timeout_share = 0.6;

    /// Used in place of a route's `gap_objective` where that is 0.
    std::chrono::milliseconds default_gap{2000};

    /// Responses that are not streams are buffered up to this size, so that the
    /// request can be retried if the response is cut off.
    std::size_t held_answer_bytes = 64UL * 1024;

    /// When more bytes than this wait to be written to the caller, reading from
    /// the target is paused.
    std::size_t max_unsent_bytes = 256UL * 1024;

    /// Sends of a request beyond the route's `max_attempts` that are made after
    /// targets refused it without running it.
    std::uint32_t max_refused_sends = 2;

    /// Estimated wait, as a multiple of the route's `objective`, above which a
    /// request is refused rather than sent.
    double max_wait = 1.0;

    /// Shortest Retry-After of a refusal, and the range of the random time that
    /// is added to it, so that refused callers don't all retry at once.
    std::chrono::milliseconds retry_after{300};
    std::chrono::milliseconds retry_after_spread{400};
};

/// Why a request is refused before it is sent, and when its caller may retry.
struct admission_refusal
{
    common::result_code code;
    std::chrono::milliseconds retry_after{0};
};

/// Whether a request is sent although it would wait.
struct wait_decision
{
    bool is_refused = false;

    /// Factor for the longest wait with which it is sent.
    double max_wait = 1;
};

/// Decisions on the caller of a request. The defaults admit everything.
struct caller_hooks
{
    /// Called once, before the first send. A value refuses the request.
    std::function<std::optional<admission_refusal>(const call&)> admit =
        [](const call&) -> std::optional<admission_refusal>
    {
        return std::nullopt;
    };

    /// Called when a request that was admitted ends and has certainly not run.
    std::function<void(const call&)> give_back = [](const call&) {
    };

    /// Called before each send. A value ends the request without the send, for
    /// example because the caller's key was revoked.
    std::function<std::optional<common::result_code>(const call&)> revalidate =
        [](const call&) -> std::optional<common::result_code>
    {
        return std::nullopt;
    };

    /// Called before the first send with the estimated wait, to share targets
    /// between callers.
    std::function<wait_decision(const call&,
                                std::chrono::duration<double, std::milli>)>
        share = [](const call&, std::chrono::duration<double, std::milli>)
    {
        return wait_decision();
    };
};

/// Objects and settings that all online requests of a process share. Not
/// thread-safe: used on the thread of `context` only.
struct environment
{
    boost::asio::io_context& context;
    const online_settings& settings;
    const targets::target_protocol& protocol;
    targets::target_set& targets;
    routing::placement& placement;
    routing::random_below random;

    /// Called before an online request is sent to a target without a free slot,
    /// to preempt a batch item there.
    std::function<void(targets::target&)> preempt_for_online;

    /// Called before each send of a request.
    routing::prompt_refusal time_refused = routing::refuse_none;

    caller_hooks callers = {};
};

} // namespace tanagertrack::online

#endif
