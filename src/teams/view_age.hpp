#ifndef TANAGERTRACK_TEAMS_VIEW_AGE_HPP
#define TANAGERTRACK_TEAMS_VIEW_AGE_HPP

#include "common/boot_clock.hpp"

#include <chrono>
#include <optional>

namespace tanagertrack::teams
{

/// Age of this process's view of the configuration: the time since the start of
/// the last read that showed that no later configuration exists. A key that was
/// revoked after that time still looks valid here, so that keys are only
/// accepted while the view is younger than a bound. Has no clock of its own:
/// the current time is passed in. Not thread-safe.
class view_age
{
public:
    using time_point = common::boot_clock::time_point;

    /// `bound` is the maximum age with which keys are accepted; 0: no bound.
    explicit view_age(std::chrono::milliseconds bound);

    /// Records that a read that was started at `read_start` has returned all
    /// changes.
    void confirm(time_point read_start);

    /// Returns the age, or std::nullopt if there was no confirmation.
    std::optional<std::chrono::milliseconds> get(time_point now) const;

    /// Returns true if requests with a key may be sent to targets.
    bool permits_keys(time_point now) const;

    /// Returns true if callers with a key should be sent to this process. They
    /// are sent elsewhere before `permits_keys` returns false, because it takes
    /// some time until they stop arriving.
    bool permits_new_callers(time_point now) const;

    /// Returns true if a key that is not known here is known to be invalid,
    /// rather than one of a configuration that was not read yet.
    bool excludes_unread_keys(time_point now) const;

private:
    std::chrono::milliseconds bound_;
    std::optional<time_point> confirmed_;
};

} // namespace tanagertrack::teams

#endif
