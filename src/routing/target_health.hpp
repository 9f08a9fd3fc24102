#ifndef TANAGERTRACK_ROUTING_TARGET_HEALTH_HPP
#define TANAGERTRACK_ROUTING_TARGET_HEALTH_HPP

#include "common/clock.hpp"

#include <chrono>
#include <cstdint>

namespace tanagertrack::routing
{

/// How an attempt failed, as far as that says something of its target.
enum class target_failure : std::uint8_t
{
    /// No connection could be made.
    unreachable,

    /// Another process answers at the target's address.
    replaced,

    /// A request was sent, and no usable answer came.
    unanswered
};

/// Name for the log.
const char* to_string(target_failure it);

/// Pauses in which a target that failed gets no work.
struct health_settings
{
    /// Pause after a failure; doubles with each further one in a row.
    std::chrono::milliseconds first_pause{500};
    std::chrono::milliseconds max_pause{2000};

    /// Pause after `replaced`. The target is gone; its announcement lags, or
    /// lapses late because the store is away.
    std::chrono::milliseconds replaced_pause{4000};

    /// Unanswered requests in a row that are taken for chance. Single answers
    /// get lost without a fault of the target.
    std::uint32_t tolerated_unanswered = 1;
};

/// Whether a target is avoided, from the ends of attempts at it. Failures of
/// attempts that were under way when a pause began don't lengthen it. Pure:
/// time is an argument. One thread.
class target_health
{
public:
    /// Takes a failure. True: a pause begins.
    bool record_failure(target_failure reason, common::time_point now,
                        const health_settings& settings = {});

    /// The target gave a whole answer: what failed before counts no more.
    void record_success();

    /// Whether the target gets no work, unless nothing else is left.
    bool is_avoided(common::time_point now) const
    {
        return now < avoided_until_;
    }

    common::time_point avoided_until() const
    {
        return avoided_until_;
    }

    /// Failures in a row that led to a pause.
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
