#include "quarantine/part_quarantine.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::quarantine
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

part_quarantine::part_quarantine(quarantine_settings settings,
                                 quarantine_hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)),
      evidence_(settings.evidence, answered_)
{
}

milliseconds part_quarantine::term_length(std::uint32_t terms) const
{
    auto length = settings_.first_term;
    for (; terms > 1 && length < settings_.max_term; --terms)
        length *= 2;
    return std::min(length, settings_.max_term);
}

void part_quarantine::begin_term(verdict& value, common::time_point now) const
{
    value.began = now;
    value.ends = now + term_length(value.terms);
    value.probe_ends = {};
}

std::vector<crash_cause> part_quarantine::known_causes() const
{
    std::vector<crash_cause> causes;
    for (const auto& [part, it] : verdicts_)
        causes.push_back(it.cause);
    return causes;
}

bool part_quarantine::report_crash(const crash_report& report,
                                   common::time_point now)
{
    if (!evidence_.add(report, now))
        return false;
    extend_verdicts(report, now);
    return true;
}

void part_quarantine::extend_verdicts(const crash_report& report,
                                      common::time_point now)
{
    for (auto& [part, it] : verdicts_)
    {
        // A request that was sent before the term began says nothing new.
        const bool confirms =
            report.at >= it.ends && contains_all(report.prompt, it.cause.parts);
        if (!confirms)
            continue;
        ++it.terms;
        begin_term(it, now);
        hooks_.on_verdict(it);
    }
}

bool part_quarantine::report_sound(std::span<const sound_part> parts)
{
    bool found = false;
    for (const auto& sound : parts)
    {
        answered_.record(sound);
        found |= evidence_.contains(sound.part);
        evidence_.remove_part(sound);
        for (auto it = verdicts_.begin(); it != verdicts_.end();)
        {
            const auto at = it++;
            auto& value = at->second;
            if (sound.at < value.began ||
                std::erase(value.cause.parts, sound.part) == 0)
                continue;
            found = true;
            if (sound.part != value.cause.part)
            {
                hooks_.on_verdict(value);
                continue;
            }
            const auto lifted = std::move(value);
            verdicts_.erase(at);
            hooks_.on_lifted(lifted, "answered");
        }
    }
    return found;
}

bool part_quarantine::suspects(const routing::prompt& prompt) const
{
    if (evidence_.size() == 0 && verdicts_.empty())
        return false;
    return std::ranges::any_of(
        routing::all_parts(prompt),
        [this](routing::part_key part)
        {
            return evidence_.contains(part) ||
                   std::ranges::any_of(verdicts_,
                                       [part](const auto& it) {
                                           return std::ranges::binary_search(
                                               it.second.cause.parts, part);
                                       });
        });
}

std::optional<milliseconds>
part_quarantine::time_refused(const routing::prompt& prompt,
                              common::time_point now)
{
    std::optional<milliseconds> refused_for;
    std::vector<verdict*> on_probation;
    for (auto& [part, it] : verdicts_)
    {
        if (!contains_all(prompt, it.cause.parts))
            continue;
        auto again_at = it.ends;
        if (now >= it.ends)
        {
            if (now >= it.probe_ends && hooks_.may_probe())
            {
                on_probation.push_back(&it);
                continue;
            }
            again_at = now + settings_.probe_time;
        }
        refused_for = std::max(refused_for.value_or(milliseconds(0)),
                               duration_cast<milliseconds>(again_at - now));
    }
    if (!refused_for)
        for (auto* it : on_probation)
            it->probe_ends = now + settings_.probe_time;
    return refused_for;
}

void part_quarantine::add_verdict(const crash_cause& cause,
                                  common::time_point now)
{
    if (verdicts_.size() >= settings_.max_verdicts)
        verdicts_.erase(std::ranges::min_element(
            verdicts_, {}, [](const auto& it) { return it.second.ends; }));
    auto& it = verdicts_[cause.part];
    it.cause = cause;
    begin_term(it, now);
}

void part_quarantine::import_verdict(const crash_cause& cause,
                                     std::uint32_t terms,
                                     common::time_point now)
{
    if (cause.parts.empty())
        return;
    const auto known = verdicts_.find(cause.part);
    if (known == verdicts_.end())
        add_verdict(cause, now);
    auto& it = verdicts_.at(cause.part);
    if (terms > it.terms)
    {
        it.terms = terms;
        begin_term(it, now);
    }

    // Both sets contain the cause; what only one of them has is not part of it.
    part_set common;
    std::ranges::set_intersection(it.cause.parts, cause.parts,
                                  std::back_inserter(common));
    if (!common.empty())
        it.cause.parts = std::move(common);
}

void part_quarantine::import_lifting(routing::part_key part)
{
    verdicts_.erase(part);
}

void part_quarantine::drop_unused_verdicts(common::time_point now)
{
    for (auto it = verdicts_.begin(); it != verdicts_.end();)
    {
        const auto at = it++;
        const auto used = std::max(at->second.ends, at->second.probe_ends);
        if (now < used + settings_.unused_time)
            continue;
        const auto dropped = std::move(at->second);
        verdicts_.erase(at);
        hooks_.on_lifted(dropped, "unused");
    }
}

std::optional<common::time_point>
part_quarantine::run_checks(common::time_point now)
{
    drop_unused_verdicts(now);
    std::optional<common::time_point> next;
    if (!verdicts_.empty())
        next = now + settings_.unused_time;
    std::map<routing::part_key, common::time_point> unconfirmed;
    for (const auto& cause : evidence_.find_causes(known_causes(), now))
    {
        const auto found = unconfirmed_.find(cause.part);
        const auto since = found == unconfirmed_.end() ? now : found->second;
        const auto due = since + settings_.confirmation;
        if (now >= due)
        {
            add_verdict(cause, now);
            hooks_.on_verdict(verdicts_.at(cause.part));
            continue;
        }
        unconfirmed[cause.part] = since;
        next = std::min(next.value_or(due), due);
    }
    unconfirmed_ = std::move(unconfirmed);
    return next;
}

} // namespace tanagertrack::quarantine
