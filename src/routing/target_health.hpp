#ifndef TANAGERTRACK_ROUTING_TARGET_HEALTH_HPP
#define TANAGERTRACK_ROUTING_TARGET_HEALTH_HPP

#include "common/clock.hpp"

#include <chrono>
#include <cstdint>

namespace tanagertrack::routing
{

/// Failure of an attempt that indicates a fault of its target.
enum class target_failure : std::uint8_t
{
    /// No connection could be made.
    unreachable,

    /// Another process responds at the target's address.
    replaced,

    /// A request was sent, and no usable response was received.
    unanswered
};

/// Returns the enumerator's name, as used in the log.
const char* to_string(target_failure failure);

/// Lengths of the pauses for which a failed target is avoided.
struct health_settings
{
    /// Pause after the first failure. Doubles with each further consecutive
    /// pause, up to `max_pause`.
    std::chrono::milliseconds first_pause{500};
    std::chrono::milliseconds max_pause{2000};

    /// Pause after `replaced`. The target no longer exists, but its
    /// announcement is still read: updates are delayed, or it expires late
    /// because the store is unreachable.
    std::chrono::milliseconds replaced_pause{4000};

    /// Consecutive unanswered requests that don't start a pause. A single
    /// response may be lost without a fault of the target.
    std::uint32_t tolerated_unanswered = 1;
};

/// Decides from the results of attempts whether a target is avoided. A failure
/// during a pause doesn't extend it, as it usually comes from an attempt that
/// was under way when the pause began. Has no clock of its own: the current
/// time is passed in. Not thread-safe.
class target_health
{
public:
    /// Records a failed attempt. Returns true if a pause begins.
    bool record_failure(target_failure reason, common::time_point now,
                        const health_settings& settings = {});

    /// Records a complete response of the target: ends a pause and resets the
    /// count of failures and pauses.
    void record_success();

    /// Returns true if the target should get work only as the last choice.
    bool is_avoided(common::time_point now) const
    {
        return now < avoided_until_;
    }

    /// End of the last pause; the clock's epoch if there was none since the
    /// last success.
    common::time_point avoided_until() const
    {
        return avoided_until_;
    }

    /// Number of pauses since the last success.
    std::uint32_t pauses() const
    {
        return pauses_;
    }

private:
    std::uint32_t unanswered_ = 0;
    std::uint32_t pauses_ = 0;
    common::time_point avoided_until_;
};

} // namespace tanagertrack::routing

#endif
