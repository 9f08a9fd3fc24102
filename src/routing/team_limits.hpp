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

/// Rate of a team.
struct team_rate
{
    double requests_per_second = 50;

    /// Requests that a team which was idle can send at once, at least 1.
    double burst = 100;
};

/// Token buckets of teams in a table of bounded size. When the table is full,
/// the team that was idle longest is dropped; it starts again with a full
/// bucket. Time is an argument. One thread.
class team_limits
{
public:
    /// `max_teams` is at least 1.
    explicit team_limits(std::size_t max_teams);

    /// Takes one request of the team. Returns zero when it is permitted;
    /// otherwise the time after which the next one will be.
    common::duration try_acquire(std::string_view team, const team_rate& rate,
                                 common::time_point now);

    /// Teams in the table.
    std::size_t size() const
    {
        return buckets_.size();
    }

private:
    struct bucket
    {
        std::string team;
        double tokens = 0;
        common::time_point filled;
    };

    /// Most recently used first.
    using bucket_list = std::list<bucket>;

    bucket& find(std::string_view team, const team_rate& rate,
                 common::time_point now);

    std::size_t max_teams_;
    bucket_list buckets_;

    /// Keys are views of the buckets' names.
    std::unordered_map<std::string_view, bucket_list::iterator> index_;
};

} // namespace tanagertrack::routing

#endif
