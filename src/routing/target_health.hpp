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

    /// Two losses, of which another entry has reported at least one, start a
    /// pause if they are closer together than this.
    std::chrono::milliseconds shared_window{300};

    /// Time after a pause for which requests that can't be repeated should go
    /// elsewhere. Doubles with each pause that begins within `distrust_memory`
    /// of the last one, up to `max_distrust`: a target that goes down and up
    /// again would lose some of them each time.
    std::chrono::milliseconds first_distrust{1000};
    std::chrono::milliseconds max_distrust{4000};
    std::chrono::milliseconds distrust_memory{10000};
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

    /// Records that another entry has lost a request at the target. Returns
    /// true if a pause begins.
    bool record_peer_loss(common::time_point now,
                          const health_settings& settings = {});

    /// Records a complete response of the target: ends a pause and resets the
    /// count of failures and pauses.
    void record_success();

    /// Returns true if the target should get work only as the last choice.
    bool is_avoided(common::time_point now) const
    {
        return now < avoided_until_;
    }

    /// Returns true if requests that can't be repeated should go to another
    /// target, because this one has failed a short time ago.
    bool is_distrusted(common::time_point now) const
    {
        return now < distrusted_until_;
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
    void begin_pause(target_failure reason, common::time_point now,
                     const health_settings& settings);

    std::uint32_t unanswered_ = 0;
    std::uint32_t pauses_ = 0;
    common::time_point avoided_until_;

    /// Last unanswered request of this entry, and last loss that another entry
    /// has reported; the clock's epoch if there is none.
    common::time_point last_own_loss_;
    common::time_point last_peer_loss_;

    // Distrust. Unlike a pause, it does not end with a success.
    std::chrono::milliseconds distrust_{0};
    common::time_point last_pause_;
    common::time_point distrusted_until_;
};

} // namespace tanagertrack::routing

#endif
