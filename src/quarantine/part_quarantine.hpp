#ifndef TANAGERTRACK_QUARANTINE_PART_QUARANTINE_HPP
#define TANAGERTRACK_QUARANTINE_PART_QUARANTINE_HPP

#include "quarantine/crash_evidence.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace tanagertrack::quarantine
{

/// Decision not to send the requests that contain a set of parts.
struct verdict
{
    crash_cause cause;

    /// Number of terms that the verdict has had, from 1.
    std::uint32_t terms = 1;

    /// Start of the current term, and its end. After the end the verdict is on
    /// probation: a single request at a time is sent to find out whether it
    /// still holds.
    common::time_point began;
    common::time_point ends;

    /// Until then, the result of the request that was sent on probation is
    /// waited for.
    common::time_point probe_ends;
};

/// Durations and limits of verdicts.
struct quarantine_settings
{
    evidence_settings evidence;

    /// Time for which there must be enough evidence before a verdict, so that
    /// entries whose targets have answered such requests can report this.
    std::chrono::milliseconds confirmation{300};

    /// First term of a verdict; short, as the verdict may be wrong. Each
    /// further one is twice as long, up to `max_term`.
    std::chrono::milliseconds first_term{std::chrono::seconds(30)};
    std::chrono::milliseconds max_term{std::chrono::hours(1)};

    /// Time for which the result of a request on probation is waited for.
    std::chrono::milliseconds probe_time{5000};

    /// Time after the end of a term after which a verdict is dropped if no
    /// request with its parts has come.
    std::chrono::milliseconds unused_time{std::chrono::hours(24)};

    /// Maximum number of verdicts; the one that ends first is dropped for a new
    /// one.
    std::size_t max_verdicts = 256;
};

/// Hooks of a quarantine; none may be empty.
struct quarantine_hooks
{
    /// Called after a verdict was reached, extended or narrowed down.
    std::function<void(const verdict&)> on_verdict;

    /// Called after a verdict was lifted, with a short reason for the log.
    std::function<void(const verdict&, std::string_view reason)> on_lifted;

    /// Returns true if this process may send requests on probation. True in one
    /// process at a time, so that a probation costs one target.
    std::function<bool()> may_probe;
};

/// Keeps requests that crash targets away from them. Collects reports of
/// crashes from all entries, determines the parts of prompts that the requests
/// have in common, and refuses further requests with these parts. Has no clock
/// of its own: the current time is passed in. Not thread-safe.
class part_quarantine
{
public:
    part_quarantine(quarantine_settings settings, quarantine_hooks hooks);

    /// Adds the report of a crash. Returns false, without effect, for a report
    /// that is known or too old. Verdicts are reached by `run_checks`.
    bool report_crash(const crash_report& report, common::time_point now);

    /// Remembers that a target has answered a request with this part.
    void record_answer(const sound_part& part)
    {
        answered_.record(part);
    }

    /// Returns the time of the last answer to a request with a part, if it is
    /// remembered.
    std::optional<common::time_point> last_answer(routing::part_key part) const
    {
        return answered_.find(part);
    }

    /// Records that a target has answered a request with these parts. Returns
    /// true if evidence or a verdict named one of them.
    bool report_sound(std::span<const sound_part> parts);

    /// Returns true if evidence or a verdict names a part of the prompt.
    bool suspects(const routing::prompt& prompt) const;

    /// Returns the time after which a request may be sent again; std::nullopt
    /// if it may be sent now. On probation, a request that may be sent counts
    /// as the one that is sent.
    std::optional<std::chrono::milliseconds>
    time_refused(const routing::prompt& prompt, common::time_point now);

    /// Applies a verdict that another process has recorded.
    void import_verdict(const crash_cause& cause, std::uint32_t terms,
                        common::time_point now);

    /// Applies that another process has lifted the verdict of a part.
    void import_lifting(routing::part_key part);

    /// Reaches verdicts on causes that are confirmed, and drops unused ones.
    /// Returns the time of the next check, if one is needed.
    std::optional<common::time_point> run_checks(common::time_point now);

    /// Verdicts by the part that identifies their cause.
    const std::map<routing::part_key, verdict>& verdicts() const
    {
        return verdicts_;
    }

private:
    std::chrono::milliseconds term_length(std::uint32_t terms) const;
    void begin_term(verdict& value, common::time_point now) const;
    void add_verdict(const crash_cause& cause, common::time_point now);
    void drop_unused_verdicts(common::time_point now);

    /// Extends the verdicts on probation that a crash confirms.
    void extend_verdicts(const crash_report& report, common::time_point now);
    std::vector<crash_cause> known_causes() const;

    quarantine_settings settings_;
    quarantine_hooks hooks_;
    answered_parts answered_;
    crash_evidence evidence_;
    std::map<routing::part_key, verdict> verdicts_;

    /// Causes that are not confirmed yet, with the time at which each was
    /// found.
    std::map<routing::part_key, common::time_point> unconfirmed_;
};

} // namespace tanagertrack::quarantine

#endif
