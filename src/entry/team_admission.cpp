#include "entry/team_admission.hpp"

#include "common/result_code.hpp"

#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

namespace tanagertrack::entry
{

using std::chrono::milliseconds;

namespace
{

/// Longest wait of a request of a team within its fair share, as a multiple of
/// that of other requests. Such a request is late because of others.
constexpr double max_wait_within_share = 2;

} // namespace

team_admission::team_admission(common::metrics_registry& metrics,
                               const std::string& member,
                               milliseconds quota_window,
                               routing::random_below random)
    : quota_window_(quota_window), random_(std::move(random)),
      quota_(member, {}, common::clock::now()), rejections_(metrics)
{
}

online::caller_hooks team_admission::make_hooks()
{
    online::caller_hooks hooks;
    hooks.admit = [this](const online::call& call)
    {
        return admit(call);
    };
    hooks.give_back = [this](const online::call& call)
    {
        if (!call.team.empty())
            quota_.give_back(teams::team_key(call.team));
    };
    hooks.share = [this](const online::call& call,
                         std::chrono::duration<double, std::milli> wait)
    {
        return share_targets(call, wait);
    };
    return hooks;
}

void team_admission::apply(const fleet::configuration_ptr& configuration)
{
    configuration_ = configuration;
    std::unordered_map<std::uint64_t, teams::quota_limit> limits;
    limits.reserve(configuration_->teams().size());
    priorities_.clear();
    for (const auto& it : configuration_->teams())
    {
        const auto key = teams::team_key(it.name);
        limits[key] = teams::fit_to_window({it.requests_per_second, it.burst},
                                           quota_window_);
        priorities_[key] = it.priority.value_or(0);
    }
    quota_.set_limits(std::move(limits), common::clock::now());
}

void team_admission::run_checks(common::time_point now)
{
    quota_.expire(now);
    report_rejections(now);
}

std::optional<online::admission_refusal>
team_admission::admit(const online::call& call)
{
    if (call.team.empty())
        return std::nullopt;
    const auto wait =
        quota_.try_admit(teams::team_key(call.team), common::clock::now());
    if (!wait)
    {
        rejections_.count_admitted(call.team);
        return std::nullopt;
    }
    const auto code = common::result_code::rate_limited;
    rejections_.count_rejected(call.team, code);
    return online::admission_refusal{code,
                                     std::chrono::ceil<milliseconds>(*wait)};
}

online::wait_decision
team_admission::share_targets(const online::call& call,
                              std::chrono::duration<double, std::milli> wait)
{
    if (call.team.empty() || call.route->objective.count() == 0)
        return {};
    using seconds = std::chrono::duration<double>;
    const auto now = common::clock::now();
    const auto key = teams::team_key(call.team);
    if (const auto it = priorities_.find(key); it != priorities_.end())
        it->second = call.priority;
    fair_share_.handle_wait(seconds(wait).count(),
                            seconds(call.route->objective).count());
    if (fair_share_.is_due(now))
        update_fair_share(now);
    if (!fair_share_.is_active())
        return {};
    constexpr std::size_t resolution = 1'000'000;
    const auto kept = static_cast<std::size_t>(fair_share_.kept_share(key) *
                                               static_cast<double>(resolution));
    if (random_(resolution) >= kept)
    {
        rejections_.count_rejected(call.team, common::result_code::overloaded);
        return {.is_refused = true};
    }
    return {.max_wait = max_wait_within_share};
}

void team_admission::update_fair_share(common::time_point now)
{
    std::vector<teams::team_demand> demand;
    if (fair_share_.needs_demand())
        quota_.for_each_demand(
            now,
            [&](std::uint64_t team, double per_s)
            {
                const auto priority = priorities_.find(team);
                demand.push_back(
                    {team, priority == priorities_.end() ? 0 : priority->second,
                     per_s});
            });
    fair_share_.update(demand, quota_.admitted_by_all(), now);
}

void team_admission::report_rejections(common::time_point now)
{
    rejections_.write(now,
                      [&](std::string_view name)
                      {
                          const auto* team =
                              configuration_
                                  ? configuration_->find_team_named(name)
                                  : nullptr;
                          return teams::rejection_report::team_numbers{
                              team ? team->requests_per_second : 0,
                              quota_.demand(teams::team_key(name), now)};
                      });
}

} // namespace tanagertrack::entry
