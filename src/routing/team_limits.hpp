#ifndef TANAGERTRACK_ROUTING_TEAM_LIMITS_HPP
#define TANAGERTRACK_ROUTING_TEAM_LIMITS_HPP

#include "common/clock.hpp"

#include <cstddef>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tanagertrack::routing
{

/// Rate limit of a team.
struct team_rate
{
    double requests_per_second = 50;

    /// Capacity of the bucket: requests that a team can send at once after an
    /// idle time, at least 1.
    double burst = 100;
};

/// Rate limits of teams: token buckets in a table of bounded size. When the
/// table is full, the team that was idle longest is dropped; it starts again
/// with a full bucket. Has no clock of its own: the current time is passed in.
/// Not thread-safe.
class team_limits
{
public:
    /// `max_teams` is at least 1.
    explicit team_limits(std::size_t max_teams);

    /// Acquires a token for one request of the team. Returns zero if it is
    /// permitted, or else the time until the next token is available.
    /// `rate.requests_per_second` must be above 0.
    common::duration try_acquire(std::string_view team, const team_rate& rate,
                                 common::time_point now);

    /// Number of teams in the table.
    std::size_t size() const
    {
        return buckets_.size();
    }

private:
    struct bucket
    {
        std::string team;
        double tokens = 0;
        common::time_point refilled_at;
    };

    /// Ordered by use, the most recently used bucket first.
    using bucket_list = std::list<bucket>;

    /// Returns the bucket of the team and moves it to the front. Adds a full
    /// one if there is none.
    bucket& find_or_add(std::string_view team, const team_rate& rate,
                        common::time_point now);

    std::size_t max_teams_;
    bucket_list buckets_;

    /// Keys refer to the `team` of the buckets.
    std::unordered_map<std::string_view, bucket_list::iterator> index_;
};

} // namespace tanagertrack::routing

#endif
