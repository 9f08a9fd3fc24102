#include "teams/rejection_report.hpp"

#include "common/logging.hpp"
#include "common/metrics.hpp"

#include <algorithm>
#include <vector>

namespace tanagertrack::teams
{

rejection_report::rejection_report(common::metrics_registry& metrics,
                                   report_settings settings)
    : metrics_(metrics), settings_(settings)
{
}

std::string_view rejection_report::label(std::string_view team) const
{
    return labelled_.contains(team) ? team : "other";
}

void rejection_report::count(std::string_view team, std::string_view result)
{
    // Until all labels are given, teams get one in the order of their first
    // requests.
    if (labelled_.size() < settings_.max_labels && !labelled_.contains(team))
        labelled_.emplace(team);
    metrics_
        .get_counter("tanagertrack_team_requests_total",
                     "requests of teams, by what was decided on them",
                     {{"team", label(team)}, {"result", result}})
        .add();
}

void rejection_report::count_admitted(std::string_view team)
{
    count(team, "admitted");
}

void rejection_report::count_rejected(std::string_view team,
                                      common::result_code reason)
{
    count(team, common::info(reason).name);
    ++rejections_[{std::string(team), reason}];
}

void rejection_report::write(
    common::time_point now,
    const std::function<team_numbers(std::string_view)>& describe)
{
    if (now - written_at_ < settings_.interval)
        return;
    written_at_ = now;
    if (rejections_.empty())
        return;

    // The teams with most rejections come first.
    using entry = decltype(rejections_)::value_type;
    std::vector<const entry*> order;
    order.reserve(rejections_.size());
    for (const auto& it : rejections_)
        order.push_back(&it);
    std::ranges::sort(order, std::ranges::greater(),
                      [](const entry* it) { return it->second; });
    std::uint64_t others = 0;
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        const auto& [key, count] = *order[i];
        if (i >= settings_.max_lines)
        {
            others += count;
            continue;
        }
        const auto numbers = describe(key.first);
        common::log_warning("team_requests_rejected",
                            {{"team", key.first},
                             {"reason", common::info(key.second).name},
                             {"count", count},
                             {"limit_per_s", numbers.limit_per_s},
                             {"fleet_asked_per_s", numbers.asked_per_s}});
    }
    if (others != 0)
        common::log_warning("team_requests_rejected",
                            {{"team", "other"},
                             {"teams", order.size() - settings_.max_lines},
                             {"count", others}});
    rejections_.clear();
}

} // namespace tanagertrack::teams
