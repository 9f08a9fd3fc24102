#include "quarantine/crash_evidence.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
#include <set>
#include <utility>

namespace tanagertrack::quarantine
{

using routing::part_key;

namespace
{

part_set sorted_parts(const routing::prompt& prompt)
{
    auto parts = routing::all_parts(prompt);
    std::ranges::sort(parts);
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

bool is_covered(const part_set& parts, std::span<const crash_cause> known)
{
    return std::ranges::any_of(
        known, [&parts](const auto& it)
        { return std::ranges::includes(parts, it.parts); });
}

} // namespace

bool contains_all(const routing::prompt& prompt, const part_set& parts)
{
    return std::ranges::all_of(parts,
                               [&prompt](part_key part)
                               {
                                   return part == prompt.own ||
                                          std::ranges::find(prompt.shared,
                                                            part) !=
                                              prompt.shared.end();
                               });
}

struct crash_evidence::suspicion
{
    part_key part = 0;

    /// Highest index of the part in a prompt: a part further back occurs in
    /// fewer prompts.
    std::size_t position = 0;

    /// True if the part is the own part of a prompt.
    bool is_own = false;

    /// True if a target has answered a request with the part before.
    bool was_answered = false;
    std::vector<const crash_report*> reports;
};

crash_evidence::crash_evidence(evidence_settings settings,
                               const answered_parts& answered)
    : settings_(settings), answered_(answered)
{
}

bool crash_evidence::add(const crash_report& report, common::time_point now)
{
    drop_old(now);
    if (known_ids_.contains(report.id) ||
        report.at + settings_.lifetime < now || report.prompt.own == 0)
        return false;
    if (reports_.size() >= settings_.max_reports)
        reports_.erase(reports_.begin());
    reports_.push_back(report);
    remember(report.id);
    return true;
}

void crash_evidence::remember(std::uint64_t id)
{
    if (known_order_.size() >= settings_.max_known_ids)
    {
        known_ids_.erase(known_order_.front());
        known_order_.pop_front();
    }
    known_ids_.insert(id);
    known_order_.push_back(id);
}

void crash_evidence::drop_old(common::time_point now)
{
    std::erase_if(reports_, [this, now](const auto& it)
                  { return it.at + settings_.lifetime < now; });
}

void crash_evidence::remove_part(const sound_part& part)
{
    for (auto& it : reports_)
    {
        if (it.at > part.at)
            continue;
        std::erase(it.prompt.shared, part.part);
        if (it.prompt.own == part.part)
            it.prompt.own = 0;
    }
    std::erase_if(reports_, [](const auto& it)
                  { return it.prompt.own == 0 && it.prompt.shared.empty(); });
}

bool crash_evidence::contains(part_key part) const
{
    return std::ranges::any_of(reports_, [part](const auto& it)
                               { return contains_all(it.prompt, {part}); });
}

bool crash_evidence::is_same_crash(const crash_report& a,
                                   const crash_report& b) const
{
    const auto apart = a.at > b.at ? a.at - b.at : b.at - a.at;
    return a.target == b.target && apart < settings_.crash_duration;
}

bool crash_evidence::has_better_explanation(
    const crash_report& report, std::span<const crash_cause> known) const
{
    const auto is_explained = [known](const crash_report& it)
    {
        return std::ranges::any_of(
            known, [&it](const auto& cause)
            { return !cause.exact && contains_all(it.prompt, cause.parts); });
    };
    const auto explains_better = [&](const crash_report& it)
    {
        return it.id != report.id && is_same_crash(it, report) &&
               ((it.answer_begun && !report.answer_begun) || is_explained(it));
    };
    return !is_explained(report) &&
           std::ranges::any_of(reports_, explains_better);
}

std::vector<crash_evidence::suspicion>
crash_evidence::collect_suspicions(std::span<const crash_cause> known) const
{
    std::map<part_key, suspicion> by_part;
    for (const auto& report : reports_)
    {
        if (has_better_explanation(report, known))
            continue;
        std::size_t position = 0;
        for (const auto part : routing::all_parts(report.prompt))
        {
            auto& it = by_part[part];
            it.part = part;
            it.position = std::max(it.position, position++);
            it.is_own |= part == report.prompt.own;
            it.was_answered = answered_.find(part).has_value();
            it.reports.push_back(&report);
        }
    }
    std::vector<suspicion> out;
    for (auto& [part, it] : by_part)
        out.push_back(std::move(it));
    std::ranges::stable_sort(out, {},
                             [](const suspicion& it)
                             {
                                 return std::pair(
                                     it.was_answered,
                                     -static_cast<std::ptrdiff_t>(it.position));
                             });
    return out;
}

unsigned crash_evidence::weigh_crashes(const suspicion& candidate) const
{
    // The first report of each crash, and whether an answer had begun in it.
    std::vector<std::pair<const crash_report*, bool>> crashes;
    for (const auto* report : candidate.reports)
    {
        const auto found =
            std::ranges::find_if(crashes, [&](const auto& it)
                                 { return is_same_crash(*it.first, *report); });
        if (found == crashes.end())
            crashes.emplace_back(report, report->answer_begun);
        else
            found->second |= report->answer_begun;
    }
    unsigned weight = 0;
    for (const auto& [report, answer_begun] : crashes)
        weight +=
            answer_begun ? settings_.begun_weight : settings_.other_weight;
    return weight;
}

std::optional<crash_cause>
crash_evidence::evaluate(const suspicion& candidate) const
{
    if (weigh_crashes(candidate) < settings_.required_weight)
        return std::nullopt;
    std::set<part_key> prompts;
    for (const auto* it : candidate.reports)
        prompts.insert(it->prompt.own);
    if (!candidate.is_own && prompts.size() < settings_.required_prompts)
        return std::nullopt;

    crash_cause cause;
    cause.part = candidate.part;
    cause.exact = candidate.is_own;
    cause.parts = sorted_parts(candidate.reports.front()->prompt);
    for (const auto* it : candidate.reports)
    {
        const auto parts = sorted_parts(it->prompt);
        part_set common;
        std::ranges::set_intersection(cause.parts, parts,
                                      std::back_inserter(common));
        cause.parts = std::move(common);
    }
    std::erase_if(cause.parts, [&](part_key part)
                  { return part != cause.part && answered_.find(part); });
    return cause;
}

std::optional<crash_cause>
crash_evidence::find_cause(std::span<const crash_cause> known) const
{
    for (const auto& candidate : collect_suspicions(known))
    {
        const auto cause = evaluate(candidate);
        if (cause && !is_covered(cause->parts, known))
            return cause;
    }
    return std::nullopt;
}

std::vector<crash_cause>
crash_evidence::find_causes(std::span<const crash_cause> known,
                            common::time_point now)
{
    drop_old(now);
    std::vector<crash_cause> all(known.begin(), known.end());
    while (const auto cause = find_cause(all))
        all.push_back(*cause);
    all.erase(all.begin(),
              all.begin() + static_cast<std::ptrdiff_t>(known.size()));
    return all;
}

} // namespace tanagertrack::quarantine
