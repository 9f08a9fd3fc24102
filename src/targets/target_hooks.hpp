#ifndef TANAGERTRACK_TARGETS_TARGET_HOOKS_HPP
#define TANAGERTRACK_TARGETS_TARGET_HOOKS_HPP

#include "routing/capacity_table.hpp"
#include "routing/prompt.hpp"
#include "routing/target_load.hpp"

#include <cstdint>
#include <functional>
#include <string_view>

namespace tanagertrack::targets
{

class target;

/// How an attempt ended, as far as it says something about the target. Attempts
/// that the sender cancelled have no result.
enum class attempt_result : std::uint8_t
{
    /// The response was received completely, with any status.
    complete,

    /// The target did not run the request.
    not_run,

    /// The connection ended, or the target stayed silent for too long, before
    /// any content of the response was received.
    lost_at_start,

    /// The same, after a part of the content was received.
    lost_midway,

    /// The response was not a valid response to the request.
    invalid
};

/// Returns the name of the enumerator.
std::string_view to_string(attempt_result value);

/// An attempt that has ended.
struct ended_attempt
{
    routing::work_class work = routing::work_class::online;
    std::string_view request_id;
    const routing::prompt& prompt;
    attempt_result result = attempt_result::complete;

    /// True if the head of a response to the request was received.
    bool head_received = false;
};

/// Hooks that the targets of a process call. None may be empty.
struct target_hooks
{
    /// Called whenever a request of this process to a target starts or ends.
    std::function<void()> on_load_change = [] {
    };

    /// Called when an attempt has ended, before the attempt's own hook.
    std::function<void(target&, const ended_attempt&)> on_attempt_end =
        [](target&, const ended_attempt&) {
        };

    /// Called for each answer that says that its target is leaving.
    std::function<void(target&)> on_leaving = [](target&) {
    };

    /// Called when the first content of a successful response is received: an
    /// event of a stream, or a piece of another body.
    std::function<void(const routing::prompt&)> on_answer_begun =
        [](const routing::prompt&) {
        };

    /// Called with each measurement of a target's work.
    std::function<void(target&, const routing::target_timing&)> on_timing =
        [](target&, const routing::target_timing&) {
        };
};

} // namespace tanagertrack::targets

#endif
