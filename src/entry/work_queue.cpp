#include "entry/work_queue.hpp"

#include <algorithm>

namespace tanagertrack::entry
{

namespace
{

/// Time after its creation at which a job without due time counts as due.
constexpr std::uint64_t default_due_ms = 24ULL * 3600 * 1000;

std::uint64_t effective_due(const queued_job& job)
{
    if (job.due_ms == 0)
        return job.created_ms + default_due_ms;
    return std::max(job.due_ms, job.created_ms);
}

} // namespace

work_queue::work_queue(queue_order order) : order_(order)
{
}

void work_queue::add(const queued_job& job)
{
    if (jobs_.contains(job.key))
        return;
    const bool fair = order_ == queue_order::fair_deadline;
    // Without fairness all jobs are those of one team, in order of creation.
    const std::string team = fair ? job.team : std::string();
    const job_rank rank{fair ? effective_due(job) : job.created_ms,
                        ++arrivals_};
    const auto it = teams_.try_emplace(team).first;
    auto& state = it->second;
    if (state.jobs.empty())
    {
        state.served = std::max(state.served, floor_);
        ready_.emplace(state.served, it->first);
    }
    state.jobs.emplace(rank, job.key);
    jobs_.emplace(job.key, job_state{team, rank});
}

void work_queue::remove(std::uint64_t key)
{
    const auto it = jobs_.find(key);
    if (it == jobs_.end())
        return;
    const auto team = teams_.find(it->second.team);
    team->second.jobs.erase(it->second.rank);
    if (team->second.jobs.empty())
    {
        ready_.erase({team->second.served, team->first});
        // A team at the floor or below would start at the floor anyway.
        if (team->second.served <= floor_)
            teams_.erase(team);
    }
    jobs_.erase(it);
}

std::optional<std::uint64_t> work_queue::take()
{
    if (ready_.empty())
        return std::nullopt;
    const auto [served, name] = *ready_.begin();
    ready_.erase(ready_.begin());
    const auto team = teams_.find(std::string(name));
    floor_ = served;
    team->second.served = served + 1;
    ready_.emplace(team->second.served, team->first);
    return team->second.jobs.begin()->second;
}

} // namespace tanagertrack::entry
