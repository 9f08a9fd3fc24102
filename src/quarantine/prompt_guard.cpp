#include "quarantine/prompt_guard.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"
#include "common/timer_wait.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::quarantine
{

using std::chrono::milliseconds;

namespace
{

/// Time for which an observation is sent with each message to other entries.
constexpr auto announcement_time = milliseconds(2000);

/// Maximum number of observations of each kind in a message.
constexpr std::size_t max_announced_crashes = 32;
constexpr std::size_t max_announced_parts = 128;

/// Reports that arrive within this time are examined together.
constexpr auto check_delay = milliseconds(20);

/// Time after which another process records a verdict if the leader has not.
constexpr auto record_delay = milliseconds(1000);

/// Drops observations that have been announced for long enough, and the oldest
/// ones above the limit.
template<typename List>
void drop_announced(List& list, std::size_t limit, common::time_point now)
{
    while (!list.empty() && (list.size() > limit ||
                             list.front().since + announcement_time < now))
        list.pop_front();
}

} // namespace

prompt_guard::prompt_guard(boost::asio::io_context& context,
                           common::metrics_registry& metrics,
                           const store::store_service& service,
                           const std::string& topic, const std::string& member,
                           guard_hooks hooks)
    : metrics_(metrics), hooks_(std::move(hooks)),
      quarantine_(quarantine_settings(), make_quarantine_hooks()),
      records_(context, service, topic, member, make_record_hooks()),
      timer_(context)
{
}

void prompt_guard::start()
{
    records_.start();
}

quarantine_hooks prompt_guard::make_quarantine_hooks()
{
    quarantine_hooks hooks;
    hooks.on_verdict = [this](const verdict& it)
    {
        common::log_warning(
            "prompt_part_quarantined",
            {{"part", routing::to_string(it.cause.part)},
             {"parts", routing::list_parts(it.cause.parts)},
             {"exact", it.cause.exact ? "yes" : "no"},
             {"terms", it.terms},
             {"term_ms",
              std::chrono::duration_cast<milliseconds>(it.ends - it.began)
                  .count()}});
        update_record(it.cause.part);
    };
    hooks.on_lifted = [this](const verdict& it, std::string_view reason)
    {
        common::log_info(
            "prompt_part_released",
            {{"part", routing::to_string(it.cause.part)}, {"why", reason}});
        update_record(it.cause.part);
    };
    hooks.may_probe = [this]
    {
        return hooks_.is_leader();
    };
    return hooks;
}

record_hooks prompt_guard::make_record_hooks()
{
    record_hooks hooks;
    hooks.on_recorded = [this](const crash_cause& cause, std::uint32_t terms)
    {
        if (!quarantine_.verdicts().contains(cause.part))
            common::log_warning("prompt_part_quarantined",
                                {{"part", routing::to_string(cause.part)},
                                 {"parts", routing::list_parts(cause.parts)},
                                 {"terms", terms},
                                 {"from", "store"}});
        quarantine_.import_verdict(cause, terms, common::clock::now());
    };
    hooks.on_removed = [this](routing::part_key part)
    {
        if (quarantine_.verdicts().contains(part))
            common::log_info("prompt_part_released",
                             {{"part", routing::to_string(part)},
                              {"why", "record_removed"}});
        quarantine_.import_lifting(part);
    };
    return hooks;
}

void prompt_guard::handle_attempt_end(targets::target& destination,
                                      const targets::ended_attempt& attempt)
{
    if (attempt.result != targets::attempt_result::lost_at_start ||
        attempt.prompt.own == 0)
        return;
    crash_report report;
    report.id =
        common::hash64(destination.id(), common::hash64(attempt.request_id));
    report.target = destination.key();
    report.prompt = attempt.prompt;
    report.answer_begun = attempt.head_received;
    report.at = common::clock::now();

    auto& waiting = lost_attempts_[destination.id()];
    waiting.push_back(std::move(report));
    if (waiting.size() == 1)
        destination.check_reachable(
            [this, id = destination.id()](bool reachable)
            { handle_check(id, reachable); });
}

void prompt_guard::handle_check(const std::string& target, bool reachable)
{
    const auto found = lost_attempts_.extract(target);
    if (reachable || found.empty())
        return;
    for (const auto& it : found.mapped())
    {
        common::log_info("target_crash_seen",
                         {{"target", target},
                          {"parts", routing::list_parts(it.prompt.shared)},
                          {"answer_begun", it.answer_begun ? "yes" : "no"}});
        own_crashes_.push_back({it, common::clock::now()});
        add_crash(it);
    }
    hooks_.on_observation();
}

void prompt_guard::announce_answered_parts(const routing::prompt& prompt,
                                           common::time_point now)
{
    bool added = false;
    for (const auto part : prompt.shared)
    {
        const auto at = quarantine_.last_answer(part);
        const bool is_announced =
            std::ranges::any_of(own_sound_parts_, [part](const auto& it)
                                { return it.what.part == part; });
        if (!at || is_announced)
            continue;
        own_sound_parts_.push_back({{part, *at}, now});
        added = true;
    }
    if (added)
        hooks_.on_observation();
}

void prompt_guard::add_crash(const crash_report& report)
{
    const auto now = common::clock::now();
    if (!quarantine_.report_crash(report, now))
        return;
    metrics_
        .get_counter(
            "tanagertrack_crash_reports_total",
            "requests whose target crashed before it answered, seen by "
            "any entry")
        .add();
    announce_answered_parts(report.prompt, now);
    schedule_checks(now + check_delay);
}

void prompt_guard::handle_answer_begun(const routing::prompt& prompt)
{
    const auto now = common::clock::now();
    for (const auto part : prompt.shared)
        quarantine_.record_answer({part, now});
    if (!quarantine_.suspects(prompt))
        return;
    std::vector<sound_part> parts;
    for (const auto part : routing::all_parts(prompt))
    {
        parts.push_back({part, now});
        own_sound_parts_.push_back({parts.back(), now});
    }
    quarantine_.report_sound(parts);
    schedule_checks(now + check_delay);
    hooks_.on_observation();
}

std::optional<milliseconds>
prompt_guard::time_refused(const routing::prompt& prompt)
{
    if (prompt.own == 0 || quarantine_.verdicts().empty())
        return std::nullopt;
    const auto refused_for =
        quarantine_.time_refused(prompt, common::clock::now());
    if (refused_for)
        metrics_
            .get_counter("tanagertrack_quarantine_refusals_total",
                         "sends that were refused because they would crash the "
                         "target")
            .add();
    return refused_for;
}

observations prompt_guard::recent_observations(common::time_point now)
{
    drop_announced(own_crashes_, max_announced_crashes, now);
    drop_announced(own_sound_parts_, max_announced_parts, now);
    observations out;
    for (const auto& it : own_crashes_)
        out.crashes.push_back(it.what);
    for (const auto& it : own_sound_parts_)
        out.sound_parts.push_back(it.what);
    return out;
}

void prompt_guard::apply_observations(const observations& received)
{
    for (const auto& it : received.crashes)
        add_crash(it);
    if (quarantine_.report_sound(received.sound_parts))
        schedule_checks(common::clock::now() + check_delay);
}

void prompt_guard::schedule_checks(common::time_point at)
{
    if (next_check_ && *next_check_ <= at)
        return;
    next_check_ = at;
    common::wait_until(timer_, at,
                       [this](const auto& ec)
                       {
                           if (!ec)
                               run_checks();
                       });
}

void prompt_guard::run_checks()
{
    next_check_.reset();
    const auto now = common::clock::now();
    if (const auto next = quarantine_.run_checks(now))
        schedule_checks(*next);
    for (const auto& [part, due] : std::map(changed_records_))
    {
        if (due <= now)
            update_record(part);
        else
            schedule_checks(due);
    }
}

void prompt_guard::update_record(routing::part_key part)
{
    const auto now = common::clock::now();
    const auto changed = changed_records_.try_emplace(part, now + record_delay);
    if (!hooks_.is_leader() && changed.first->second > now)
        return schedule_checks(changed.first->second);
    changed_records_.erase(changed.first);
    const auto recorded = records_.recorded_terms(part);
    const auto found = quarantine_.verdicts().find(part);
    if (found == quarantine_.verdicts().end())
    {
        if (recorded != 0)
            records_.remove(part);
    }
    else if (hooks_.is_leader() || recorded < found->second.terms)
        records_.write(found->second);
}

} // namespace tanagertrack::quarantine
