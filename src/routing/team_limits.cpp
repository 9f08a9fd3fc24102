#include "routing/team_limits.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace tanagertrack::routing
{

using seconds = std::chrono::duration<double>;

team_limits::team_limits(std::size_t max_teams) : max_teams_(max_teams)
{
    BOOST_ASSERT(max_teams >= 1);
}

team_limits::bucket& team_limits::find_or_add(std::string_view team,
                                              const team_rate& rate,
                                              common::time_point now)
{
    const auto it = index_.find(team);
    if (it != index_.end())
    {
        buckets_.splice(buckets_.begin(), buckets_, it->second);
        return buckets_.front();
    }
    if (buckets_.size() >= max_teams_)
    {
        index_.erase(buckets_.back().team);
        buckets_.pop_back();
    }
    buckets_.push_front({std::string(team), rate.burst, now});
    index_.emplace(buckets_.front().team, buckets_.begin());
    return buckets_.front();
}

common::duration team_limits::try_acquire(std::string_view team,
                                          const team_rate& rate,
                                          common::time_point now)
{
    BOOST_ASSERT(rate.requests_per_second > 0 && rate.burst >= 1);
    auto& it = find_or_add(team, rate, now);
    const double elapsed = seconds(now - it.refilled_at).count();
    it.tokens =
        std::min(rate.burst, it.tokens + elapsed * rate.requests_per_second);
    it.refilled_at = now;
    if (it.tokens >= 1)
    {
        it.tokens -= 1;
        return {};
    }
    const seconds wait((1 - it.tokens) / rate.requests_per_second);
    return std::chrono::duration_cast<common::duration>(wait) +
           common::duration(1); // rounds up
}

} // namespace tanagertrack::routing
