#ifndef TANAGERTRACK_QUARANTINE_PROMPT_GUARD_HPP
#define TANAGERTRACK_QUARANTINE_PROMPT_GUARD_HPP

#include "common/metrics.hpp"
#include "quarantine/part_quarantine.hpp"
#include "quarantine/verdict_records.hpp"
#include "targets/target.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagertrack::quarantine
{

/// Functions of the process that the guard uses; none may be empty.
struct guard_hooks
{
    /// Called when there are observations that have to be sent to the other
    /// entries.
    std::function<void()> on_observation;

    /// Returns true if this process is the leader: it sends requests on
    /// probation and records verdicts first.
    std::function<bool()> is_leader;
};

/// Observes all attempts of a process, exchanges with the other entries what
/// crashes targets, and refuses the requests that would. Verdicts are kept in
/// the platform's store.
///
/// Not thread-safe: all calls are made on the thread of the io_context.
class prompt_guard
{
public:
    /// `topic` is the keyed topic of the verdicts. `metrics` must outlive the
    /// guard.
    prompt_guard(boost::asio::io_context& context,
                 common::metrics_registry& metrics,
                 const store::store_service& service, const std::string& topic,
                 const std::string& member, guard_hooks hooks);

    prompt_guard(const prompt_guard&) = delete;
    prompt_guard& operator=(const prompt_guard&) = delete;

    /// Starts to follow the recorded verdicts.
    void start();

    /// Call for each attempt that has ended. If it was lost before any content
    /// was received, checks whether the target can still be reached.
    void handle_attempt_end(targets::target& destination,
                            const targets::ended_attempt& attempt);

    /// Call when the first content of an answer was received.
    void handle_answer_begun(const routing::prompt& prompt);

    /// Returns the time after which a request with the prompt may be sent
    /// again; std::nullopt if it may be sent now.
    std::optional<std::chrono::milliseconds>
    time_refused(const routing::prompt& prompt);

    /// Returns this process's observations of the last seconds, which are sent
    /// to the other entries repeatedly, as messages may be lost.
    observations recent_observations(common::time_point now);

    /// Adds the observations of another entry.
    void apply_observations(const observations& received);

    /// Number of verdicts.
    std::size_t verdict_count() const
    {
        return quarantine_.verdicts().size();
    }

private:
    quarantine_hooks make_quarantine_hooks();
    record_hooks make_record_hooks();
    void add_crash(const crash_report& report);

    /// Announces the parts of a crashed request that targets have answered, as
    /// far as this process remembers.
    void announce_answered_parts(const routing::prompt& prompt,
                                 common::time_point now);
    void handle_check(const std::string& target, bool reachable);
    void schedule_checks(common::time_point at);
    void run_checks();

    /// Writes the verdict of a part, or its removal, if the record differs and
    /// another process has had time to write it.
    void update_record(routing::part_key part);

    common::metrics_registry& metrics_;
    guard_hooks hooks_;
    part_quarantine quarantine_;
    verdict_records records_;
    boost::asio::steady_timer timer_;
    std::optional<common::time_point> next_check_;

    /// Lost attempts whose targets are being checked, by the target's id.
    std::map<std::string, std::vector<crash_report>> lost_attempts_;

    /// An observation of this process, and the time since which it is sent to
    /// the other entries.
    template<typename Observation>
    struct announced
    {
        Observation what;
        common::time_point since;
    };

    std::deque<announced<crash_report>> own_crashes_;
    std::deque<announced<sound_part>> own_sound_parts_;

    /// Parts whose verdict has changed, and when this process updates the
    /// record if no other one has.
    std::map<routing::part_key, common::time_point> changed_records_;
};

} // namespace tanagertrack::quarantine

#endif
