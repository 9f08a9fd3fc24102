#ifndef TANAGERTRACK_TEAMS_FLEET_QUOTA_HPP
#define TANAGERTRACK_TEAMS_FLEET_QUOTA_HPP

#include "common/clock.hpp"
#include "teams/team_use.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tanagertrack::teams
{

/// Returns the key of a team in messages: a hash of its name.
std::uint64_t team_key(std::string_view name);

/// Limit of a team over all entries together.
struct quota_limit
{
    /// 0: no limit.
    double requests_per_second = 0;

    /// Requests that can be sent at once after an idle time.
    double burst = 0;
};

/// Returns a limit that admits a higher steady rate with a smaller burst, and
/// no more requests in any `window`. A load that stays above its rate would
/// otherwise be refused down to the rate once the burst is spent, although the
/// windows have room left. A window of 0 changes nothing.
quota_limit fit_to_window(quota_limit limit, std::chrono::milliseconds window);

/// Constants of the decision. All guards can be switched off, so that tests can
/// show that each of them is needed.
struct quota_settings
{
    /// An entry without a message for longer than this counts as unreachable.
    std::chrono::milliseconds silence{1500};

    /// Longest expected time from the decision of another entry until the
    /// message with it has been read here, besides the time between messages.
    std::chrono::milliseconds message_delay{150};

    /// Time constant of the rate of requests.
    std::chrono::milliseconds rate_window{2000};

    /// Time for which a larger own share must have been announced before it is
    /// used. Longer than `silence`, so that entries that could not be told have
    /// been noticed to be unreachable by then. 0 removes the guard.
    std::chrono::milliseconds raise_delay{2300};

    /// Requests beyond rate and burst that may be admitted before all entries
    /// know of it, in multiples of the rate and the burst, and a number. The
    /// bound on a window of 5 s leaves 0.5, 0.1 and 20.
    double slack_of_rate = 0.33;
    double slack_of_burst = 0.05;
    double slack = 13;

    /// Longest time since most entries were heard in which requests are
    /// admitted ahead of the own share, and the time of the own part of the
    /// rate that can be spent ahead. It is paid back within a window of 5 s.
    std::chrono::milliseconds max_age_ahead{500};
    std::chrono::milliseconds ahead{3000};

    /// Part of the shares that is divided equally, whatever the demand.
    double equal_part = 0.25;

    /// Number of entries that is assumed before the members are known.
    std::size_t assumed_entries = 16;

    /// Share of the burst that a team has at an entry that has just started,
    /// and the time for which it counts as such.
    double burst_after_start = 0.5;
    std::chrono::milliseconds start_time{2200};

    /// Limit on the number of teams with state, and the time without requests
    /// after which a team's state is dropped. The counter that an entry sends
    /// begins at 0 again somewhat earlier, so that a counter that is received
    /// without state counts in full.
    std::size_t max_teams = 16384;
    std::chrono::seconds idle_time{60};
    std::chrono::seconds counter_time{50};

    /// Number of messages that carry a changed counter.
    unsigned repeats = 3;

    // Guards, for tests.
    bool count_peers = true;     ///< drains the level by others' admissions
    bool bound_unseen = true;    ///< limits what is spent before others know
    bool limit_partition = true; ///< counts unreachable entries
};

/// Decides which requests of teams are admitted, so that all entries together
/// keep to each team's limit without asking each other for each request.
///
/// Each entry computes the level of one token bucket for each team from its own
/// admissions and from the counters of the others. Between two rounds of
/// messages it may spend its share of this level and of the rate; shares add up
/// to 1 over all entries. What the others have left unspent becomes known with
/// their messages and is divided again.
///
/// Has no clock, network or randomness. Not thread-safe.
class fleet_quota
{
public:
    /// `member` is the name of this process, `started` the time of its start.
    fleet_quota(std::string member, quota_settings settings,
                common::time_point started);

    /// Adds an entry of the fleet. Without effect for this process.
    void add_entry(const std::string& member, common::time_point now);

    /// Removes an entry that has departed.
    void remove_entry(std::string_view member);

    /// Takes note that all entries are known by now, so that an entry without
    /// others is alone.
    void set_entries_known();

    /// Sets the teams of the configuration and their limits, by key. Forgets
    /// other teams.
    void set_limits(std::unordered_map<std::uint64_t, quota_limit> limits,
                    common::time_point now);

    /// Takes note of a message from an entry, with the counters in it.
    void handle_message(std::string_view member,
                        const std::vector<team_use>& uses,
                        common::time_point now);

    /// Asks to run a request. Returns std::nullopt if it is admitted, or else
    /// the time after which the team may send again. Admits all requests of
    /// unknown teams.
    std::optional<common::duration> try_admit(std::uint64_t team,
                                              common::time_point now);

    /// Returns an admission whose request has not run.
    void give_back(std::uint64_t team);

    /// Returns the counters for the next message, at most `max` of them.
    std::vector<team_use> take_uses(std::size_t max, common::time_point now);

    /// Drops the state of idle teams.
    void expire(common::time_point now);

    /// Number of teams with state.
    std::size_t size() const
    {
        return teams_.size();
    }

    /// Number of entries, this one included.
    std::size_t entries() const;

    /// Number of entries that can be heard, this one included.
    std::size_t reachable() const;

    /// Returns the requests/s that the reachable entries together get of a
    /// team.
    double demand(std::uint64_t team, common::time_point now) const;

    /// Calls `f` with each team and the requests/s of it that all reachable
    /// entries together may admit.
    void for_each_demand(
        common::time_point now,
        const std::function<void(std::uint64_t team, double per_s)>& f) const;

    /// Number of requests that all entries have admitted since the start of
    /// this process, as far as known.
    double admitted_by_all() const
    {
        return admitted_by_all_;
    }

    /// Approximate size of the state in bytes.
    std::size_t bytes() const;

private:
    using seconds = std::chrono::duration<double>;

    struct entry_state
    {
        std::string member;
        common::time_point heard_at;
        bool reachable = false;
        bool in_use = false;
    };

    static constexpr std::size_t share_parts = 5;

    /// What another entry has told of a team.
    struct told_use
    {
        std::uint32_t entry = 0;
        std::uint32_t admitted = 0;
        float asked_per_s = 0;
        common::time_point told_at;

        /// Share that the entry could use when it was last told, and when this
        /// was computed.
        float share = 0;
        common::time_point share_at;

        /// Time since which the entry's admissions are only presumed.
        std::optional<common::time_point> silent_since;
    };

    /// Own admissions within one short interval.
    struct admissions
    {
        common::time_point at;
        std::int32_t count = 0;
    };

    struct team_state
    {
        quota_limit limit;

        /// Tokens, as far as known; negative: debt.
        double level = 0;
        common::time_point refilled_at;

        /// Tokens that this entry may spend before it hears from the others.
        double allowance = 0;
        common::time_point allowance_at;

        /// Time up to which all admissions were known when `allowance` was
        /// last divided.
        common::time_point confirmed_at;

        // Own requests.
        double asked_per_s = 0;
        common::time_point asked_at;
        bool is_listed = false; // in `own_`
        std::uint32_t admitted = 0;
        std::vector<admissions> recent;

        /// Lowest share of this entry in each part of the last `raise_delay`,
        /// the current part first.
        std::array<double, share_parts> lowest_shares{};
        common::time_point share_since;

        /// Share that is safe to use; 0 before the first request.
        double share = 0;

        // Sending.
        unsigned repeats_left = 0;
        common::time_point announced_at;

        common::time_point used_at;
        std::vector<told_use> told;
    };

    /// Bucket of the reachable entries together: all of the team's, or the
    /// part that belongs to them.
    struct part_limit
    {
        double rate = 0;
        double slack = 0;

        /// Highest level.
        double cap = 0;
    };

    double slack_of(const quota_limit& limit) const;
    part_limit part_of(const quota_limit& limit) const;

    /// Returns the level of a team at this process when it has just started.
    double level_after_start(const part_limit& part) const;

    /// Updates which entries are reachable and the time up to which all of
    /// them have been heard.
    void refresh(common::time_point now);

    /// Handles that no messages come from some entries any more: presumes that
    /// they have spent their share since.
    void handle_silence(const std::vector<std::uint32_t>& silent,
                        common::time_point now);
    void presume_spent(team_state& state,
                       const std::vector<std::uint32_t>& silent,
                       common::time_point now) const;

    /// Returns the state of a team; nullptr for unknown teams.
    team_state* find_or_add(std::uint64_t team, common::time_point now);
    void change_limit(team_state& state, const quota_limit& limit,
                      common::time_point now);
    void refill(team_state& state, const part_limit& part,
                common::time_point now) const;

    /// Returns the admissions that a counter shows since the last one.
    double spent_since(const team_state& state, const told_use* last,
                       const team_use& use, common::time_point now) const;
    void apply_use(std::uint32_t entry, const team_use& use,
                   common::time_point now);

    /// Returns the current rate of an entry's requests.
    double told_rate(const told_use& use, common::time_point now) const;
    double own_rate(const team_state& state, common::time_point now) const;

    /// Returns the rate of requests at all reachable entries.
    double total_rate(const team_state& state, common::time_point now) const;

    /// Returns the requests that the others may have admitted without this
    /// entry knowing it, at their current rates.
    double unseen(const team_state& state, common::time_point now) const;

    /// Returns the share (0 to 1) that one of `n` entries gets.
    double share_of(double rate, double total, std::size_t n) const;

    /// Updates and returns the share of this entry that is safe to use now.
    double update_share(team_state& state, double total,
                        common::time_point now) const;

    /// Returns own admissions that others may not know yet.
    double unconfirmed(team_state& state) const;
    void mark_changed(std::uint64_t team, team_state& state);
    void admit(std::uint64_t team, team_state& state, common::time_point now);

    /// Returns true if this entry may admit requests of a team while the part
    /// of the fleet that it reaches is too small for a whole request.
    bool has_token_when_cut_off(std::uint64_t team,
                                const quota_limit& limit) const;

    std::string member_;
    quota_settings settings_;
    common::time_point started_at_;
    bool entries_known_ = false;

    /// True if most entries have been heard once.
    bool has_met_most_ = false;
    std::vector<entry_state> entries_;
    std::map<std::string, std::uint32_t, std::less<>> index_;

    /// Time up to which all reachable entries have been heard.
    common::time_point confirmed_at_;

    /// True while at most a few reachable entries are late with their message.
    bool hears_most_ = true;
    common::time_point refreshed_at_;
    std::size_t reachable_ = 1;
    double admitted_by_all_ = 0;

    std::unordered_map<std::uint64_t, quota_limit> limits_;
    std::unordered_map<std::uint64_t, team_state> teams_;

    /// Teams whose counters have to be sent.
    std::vector<std::uint64_t> changed_;

    /// Teams with own requests, and the next one that is sent unchanged.
    std::vector<std::uint64_t> own_;
    std::size_t next_own_ = 0;
};

} // namespace tanagertrack::teams

#endif
