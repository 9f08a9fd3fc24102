#include "teams/fleet_quota.hpp"

#include "common/hash.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagertrack::teams
{

using common::time_point;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace
{

/// Time for which the state computed in `refresh` is used.
constexpr auto refresh_interval = milliseconds(5);

/// Own admissions within this time are kept as one number.
constexpr auto admission_interval = milliseconds(20);

/// Time after which the rate that an entry has told begins to lapse, and after
/// which it has lapsed. Entries with requests tell it several times a second.
constexpr double rate_valid_s = 1.0;
constexpr double rate_lapsed_s = 3.0;

/// A counter that is read by a process that has just started counts as the
/// admissions of this time at the rate that is told with it.
constexpr double unknown_counter_s = 0.5;

/// Time for which the share of another entry is used.
constexpr auto share_interval = milliseconds(200);

/// Time between two announcements of a team whose requests are all refused.
constexpr auto refused_interval = milliseconds(250);

/// Admissions that an entry returns between two messages at most.
constexpr double max_returned = 64;

/// Requests that can be admitted ahead of the allowance in any case.
constexpr double min_ahead = 4;

/// Share of the fleet's bound that entries may use that are cut off and whose
/// own part is less than one request.
constexpr double cut_off_margin = 0.8;

/// Part of the burst that a window turns into a higher rate. The other part
/// admits requests that arrive together.
constexpr double burst_part_for_rate = 0.5;

/// Requests are admitted ahead of the allowance while at most one in this many
/// entries is late with its message. A single entry that has ended would
/// otherwise cost requests of all teams until it counts as unreachable.
constexpr std::size_t late_share = 10;

/// Overhead of an element of a hash table, in bytes.
constexpr std::size_t node_overhead = 32;

} // namespace

std::uint64_t team_key(std::string_view name)
{
    return common::hash64(name);
}

quota_limit fit_to_window(quota_limit limit, milliseconds window)
{
    const double seconds = std::chrono::duration<double>(window).count();
    if (seconds <= 0 || limit.requests_per_second <= 0)
        return limit;
    const double moved = limit.burst * burst_part_for_rate;
    return {limit.requests_per_second + moved / seconds, limit.burst - moved};
}

fleet_quota::fleet_quota(std::string member, quota_settings settings,
                         time_point started)
    : member_(std::move(member)), settings_(settings), started_at_(started),
      confirmed_at_(started), refreshed_at_(started)
{
}

std::size_t fleet_quota::entries() const
{
    const auto known = index_.size() + 1;
    return entries_known_ || known > 1
               ? known
               : std::max(known, settings_.assumed_entries);
}

std::size_t fleet_quota::reachable() const
{
    return reachable_;
}

void fleet_quota::add_entry(const std::string& member, time_point now)
{
    if (member == member_ || index_.contains(member))
        return;
    auto it = std::ranges::find(entries_, false, &entry_state::in_use);
    if (it == entries_.end())
        it = entries_.insert(it, entry_state());

    // Counts as unreachable until its first message.
    *it = {member, now, false, true};
    index_[member] = static_cast<std::uint32_t>(it - entries_.begin());
}

void fleet_quota::remove_entry(std::string_view member)
{
    const auto found = index_.find(member);
    if (found == index_.end())
        return;
    const auto entry = found->second;
    if (entries_[entry].reachable)
        --reachable_;
    entries_[entry] = {};
    index_.erase(found);
    for (auto& [team, state] : teams_)
        std::erase_if(state.told,
                      [&](const told_use& it) { return it.entry == entry; });
}

void fleet_quota::set_entries_known()
{
    entries_known_ = true;
    has_met_most_ = has_met_most_ || entries() == 1;
}

double fleet_quota::slack_of(const quota_limit& limit) const
{
    return settings_.slack_of_rate * limit.requests_per_second +
           settings_.slack_of_burst * limit.burst + settings_.slack;
}

fleet_quota::part_limit fleet_quota::part_of(const quota_limit& limit) const
{
    const double slack = slack_of(limit);
    if (!settings_.limit_partition || reachable_ >= entries())
        return {limit.requests_per_second, slack, limit.burst};
    const double part =
        static_cast<double>(reachable_) / static_cast<double>(entries());
    const double room = std::max(1.0, part * (limit.burst + slack));
    return {part * limit.requests_per_second, slack, room - slack};
}

double fleet_quota::level_after_start(const part_limit& part) const
{
    // Before most entries have been heard, `part` is that of an entry that is
    // cut off.
    return settings_.burst_after_start * (part.cap + part.slack) - part.slack;
}

void fleet_quota::refresh(time_point now)
{
    if (now - refreshed_at_ < refresh_interval)
        return;
    refreshed_at_ = now;
    auto oldest = now;
    std::size_t late = 0;
    std::vector<std::uint32_t> silent;
    for (std::uint32_t i = 0; i < entries_.size(); ++i)
    {
        const auto& it = entries_[i];
        if (!it.reachable)
            continue;
        if (now - it.heard_at > settings_.silence)
            silent.push_back(i);
        else
        {
            oldest = std::min(oldest, it.heard_at);
            late += now - it.heard_at > settings_.max_age_ahead ? 1 : 0;
        }
    }
    hears_most_ = late * late_share <= reachable_;
    if (!silent.empty())
        handle_silence(silent, now);
    const auto delay =
        reachable_ > 1 ? settings_.message_delay : milliseconds(0);
    confirmed_at_ = std::max(confirmed_at_, oldest - delay);
}

void fleet_quota::handle_silence(const std::vector<std::uint32_t>& silent,
                                 time_point now)
{
    if (settings_.limit_partition)
    {
        for (auto& [team, state] : teams_)
            presume_spent(state, silent, now);
    }
    for (const auto it : silent)
        entries_[it].reachable = false;
    reachable_ -= silent.size();
}

void fleet_quota::presume_spent(team_state& state,
                                const std::vector<std::uint32_t>& silent,
                                time_point now) const
{
    const auto part = part_of(state.limit);
    refill(state, part, now);
    const double own =
        state.share > 0 ? state.share : share_of(0, 0, reachable_);

    // The share of an entry that has told nothing. The silent entries do not
    // know the current rates, only those at the time when they were heard.
    const double initial = share_of(0, state.told.empty() ? 0 : 1, reachable_);
    double lost = 0;
    for (const auto entry : silent)
    {
        const auto use = std::ranges::find(state.told, entry, &told_use::entry);
        const bool is_told = use != state.told.end();
        const double share = std::min(is_told ? use->share : initial, 1 - lost);
        const double age = seconds(now - entries_[entry].heard_at).count();
        state.level -= share * (part.cap + part.slack + age * part.rate);
        lost += share;
        if (is_told)
            use->silent_since = now;
    }

    // No more is presumed than there was, but what this entry itself has spent
    // ahead remains its debt.
    state.level =
        std::max(state.level, std::min(0.0, state.allowance) - part.slack);

    // The entries that are left divide their part among them.
    const double left = std::max(own, 1 - lost);
    for (auto& it : state.lowest_shares)
        it = std::min(1.0, it / left);
}

void fleet_quota::set_limits(
    std::unordered_map<std::uint64_t, quota_limit> limits, time_point now)
{
    refresh(now);
    limits_ = std::move(limits);
    std::erase_if(teams_, [this](const auto& it)
                  { return !limits_.contains(it.first); });
    std::erase_if(own_, [this](std::uint64_t team)
                  { return !teams_.contains(team); });
    for (auto& [team, state] : teams_)
        change_limit(state, limits_[team], now);
}

fleet_quota::team_state* fleet_quota::find_or_add(std::uint64_t team,
                                                  time_point now)
{
    const auto found = teams_.find(team);
    if (found != teams_.end())
        return &found->second;
    const auto limit = limits_.find(team);
    if (limit == limits_.end())
        return nullptr;
    if (teams_.size() >= settings_.max_teams)
    {
        const auto oldest = std::ranges::min_element(
            teams_, {}, [](const auto& it) { return it.second.used_at; });
        std::erase(own_, oldest->first);
        teams_.erase(oldest);
    }
    auto& state = teams_[team];
    state.refilled_at = state.allowance_at = state.asked_at = now;
    state.used_at = now;
    state.limit = limit->second;

    // What was spent before the start of this process is unknown.
    const bool just_started = now - started_at_ < settings_.start_time;
    const auto part = part_of(state.limit);
    state.level = just_started ? level_after_start(part) : part.cap;
    return &state;
}

void fleet_quota::change_limit(team_state& state, const quota_limit& limit,
                               time_point now)
{
    if (state.limit.requests_per_second == limit.requests_per_second &&
        state.limit.burst == limit.burst)
        return;
    refill(state, part_of(state.limit), now);
    state.limit = limit;
    state.level = std::min(state.level, part_of(limit).cap);
    state.allowance = std::min(state.allowance, 1.0);
}

void fleet_quota::refill(team_state& state, const part_limit& part,
                         time_point now) const
{
    const double elapsed = seconds(now - state.refilled_at).count();
    state.level = std::min(part.cap, state.level + elapsed * part.rate);
    state.refilled_at = now;
}

void fleet_quota::handle_message(std::string_view member,
                                 const std::vector<team_use>& uses,
                                 time_point now)
{
    const auto found = index_.find(member);
    if (found == index_.end())
        return;
    refresh(now);
    auto& entry = entries_[found->second];
    entry.heard_at = now;
    reachable_ += entry.reachable ? 0 : 1;
    entry.reachable = true;
    if (!has_met_most_ && 2 * reachable_ > entries())
    {
        has_met_most_ = true;
        for (auto& [team, state] : teams_)
            state.level =
                std::max(state.level, level_after_start(part_of(state.limit)));
    }
    for (const auto& it : uses)
        apply_use(found->second, it, now);
}

double fleet_quota::spent_since(const team_state& state, const told_use* last,
                                const team_use& use, time_point now) const
{
    const auto all = static_cast<double>(use.admitted);
    if (last)
    {
        // Negative if the entry has returned admissions, or has begun a new
        // count.
        const double spent =
            static_cast<std::int32_t>(use.admitted - last->admitted);
        return spent >= -max_returned ? spent : all;
    }
    if (now - started_at_ < settings_.start_time)
        return std::min(all, 1 + unknown_counter_s * use.asked_per_s);
    const auto& limit = state.limit;
    return std::min(all, limit.burst + slack_of(limit) +
                             limit.requests_per_second *
                                 seconds(settings_.silence).count());
}

void fleet_quota::apply_use(std::uint32_t entry, const team_use& use,
                            time_point now)
{
    auto* known = find_or_add(use.team, now);
    if (!known)
        return;
    auto& state = *known;
    auto told = std::ranges::find(state.told, entry, &told_use::entry);
    const bool is_first = told == state.told.end();
    double spent = spent_since(state, is_first ? nullptr : &*told, use, now);
    if (is_first)
        told = state.told.insert(told, {entry});
    if (told->silent_since)
    {
        // The level was not refilled by the entry's part in the meantime.
        const double presumed = seconds(now - *told->silent_since).count() *
                                state.limit.requests_per_second /
                                static_cast<double>(entries());
        spent = std::max(0.0, spent - presumed);
        told->silent_since.reset();
    }
    if (spent != 0 || use.asked_per_s != 0)
        state.used_at = now;
    told->admitted = use.admitted;
    told->asked_per_s = static_cast<float>(use.asked_per_s);
    told->told_at = now;
    if (now - told->share_at > share_interval)
    {
        told->share = static_cast<float>(
            share_of(use.asked_per_s, total_rate(state, now), reachable_));
        told->share_at = now;
    }
    admitted_by_all_ += spent;
    refill(state, part_of(state.limit), now);
    if (settings_.count_peers)
        state.level -= spent;
}

double fleet_quota::told_rate(const told_use& use, time_point now) const
{
    if (!entries_[use.entry].reachable)
        return 0;
    const double age = seconds(now - use.told_at).count();
    const double valid = (rate_lapsed_s - age) / (rate_lapsed_s - rate_valid_s);
    return use.asked_per_s * std::clamp(valid, 0.0, 1.0);
}

double fleet_quota::own_rate(const team_state& state, time_point now) const
{
    const double age = seconds(now - state.asked_at).count();
    return state.asked_per_s *
           std::exp(-age / seconds(settings_.rate_window).count());
}

double fleet_quota::total_rate(const team_state& state, time_point now) const
{
    double total = own_rate(state, now);
    for (const auto& it : state.told)
        total += told_rate(it, now);
    return total;
}

double fleet_quota::unseen(const team_state& state, time_point now) const
{
    double count = 0;
    for (const auto& it : state.told)
    {
        const auto age =
            now - entries_[it.entry].heard_at + settings_.message_delay;
        count += told_rate(it, now) * seconds(age).count();
    }
    return count;
}

double fleet_quota::demand(std::uint64_t team, time_point now) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : total_rate(found->second, now);
}

void fleet_quota::for_each_demand(
    time_point now, const std::function<void(std::uint64_t, double)>& f) const
{
    for (const auto& [team, state] : teams_)
    {
        const double rate = total_rate(state, now);
        const double limit = state.limit.requests_per_second;
        f(team, limit > 0 ? std::min(rate, limit) : rate);
    }
}

double fleet_quota::share_of(double rate, double total, std::size_t n) const
{
    const double equal = 1.0 / static_cast<double>(n);
    if (total <= 0)
        return equal;
    return settings_.equal_part * equal +
           (1 - settings_.equal_part) * rate / total;
}

double fleet_quota::update_share(team_state& state, double total,
                                 time_point now) const
{
    const double rate = own_rate(state, now);
    state.share = share_of(rate, total, reachable_);
    const auto delay = settings_.raise_delay;
    if (delay.count() == 0)
        return state.share;
    const auto part_length = delay / (share_parts - 1);
    auto& lowest = state.lowest_shares;
    if (state.share_since == time_point() ||
        now - state.share_since > 2 * delay)
    {
        // What the others assume of an entry without requests.
        lowest.fill(
            std::min(state.share, share_of(0, total - rate, reachable_)));
        state.share_since = now;
    }
    else if (now - state.share_since > part_length)
    {
        std::shift_right(lowest.begin(), lowest.end(), 1);
        lowest.front() = state.share;
        state.share_since = now;
    }
    lowest.front() = std::min(lowest.front(), state.share);
    state.share = std::ranges::min(lowest);
    return state.share;
}

double fleet_quota::unconfirmed(team_state& state) const
{
    std::erase_if(state.recent, [this](const admissions& it)
                  { return it.at + admission_interval <= confirmed_at_; });
    double count = 0;
    for (const auto& it : state.recent)
        count += it.count;
    return count;
}

bool fleet_quota::has_token_when_cut_off(std::uint64_t team,
                                         const quota_limit& limit) const
{
    const double part =
        static_cast<double>(reachable_) / static_cast<double>(entries());
    if (part * (limit.burst + slack_of(limit)) >= 1)
        return true;

    // Every entry of the fleet may be alone and have one whole token. Where
    // these are more than the bound permits, a part of the entries has none.
    const double permitted = cut_off_margin * (0.5 * limit.requests_per_second +
                                               1.1 * limit.burst + 20);
    const auto entries = static_cast<double>(this->entries());
    const auto rank = common::hash64(member_, team) >> 11;
    return static_cast<double>(rank) * 0x1p-53 * entries < permitted;
}

std::optional<common::duration> fleet_quota::try_admit(std::uint64_t team,
                                                       time_point now)
{
    refresh(now);
    auto* known = find_or_add(team, now);
    if (!known)
        return std::nullopt;
    auto& state = *known;
    const auto& limit = state.limit;
    if (!std::exchange(state.is_listed, true))
        own_.push_back(team);
    if (now - state.used_at > settings_.counter_time)
        state.admitted = 0;
    state.asked_per_s =
        own_rate(state, now) + 1 / seconds(settings_.rate_window).count();
    state.asked_at = state.used_at = now;
    if (limit.requests_per_second <= 0)
    {
        admit(team, state, now);
        return std::nullopt;
    }

    const auto part = part_of(limit);
    refill(state, part, now);
    const double total = total_rate(state, now);
    const double share = update_share(state, total, now);
    const double spent = unconfirmed(state);
    const double age = seconds(now - confirmed_at_).count();

    // Divides what is left anew after each round of messages.
    const double room = std::min(part.cap, state.level + spent) + part.slack;
    if (confirmed_at_ > state.confirmed_at)
    {
        state.allowance = share * room - spent;
        state.confirmed_at = confirmed_at_;
    }
    else
    {
        const double elapsed = seconds(now - state.allowance_at).count();
        state.allowance =
            std::min(std::max(1.0, share * (part.cap + part.slack)),
                     state.allowance + elapsed * share * part.rate);
    }
    state.allowance_at = now;

    // Requests are admitted ahead of the allowance while the level suffices for
    // all requests that the others may have admitted unseen. Otherwise the
    // allowance of a small team, a part of one request, would refuse requests
    // that happen to meet at one entry.
    const double max_ahead = std::max(
        min_ahead, share * part.rate * seconds(settings_.ahead).count());
    // The slack is only spent by entries that keep close to their allowance;
    // what is left of the bucket itself may be spent by any of them.
    const double slack = state.allowance >= 1 - max_ahead ? part.slack : 0;
    const bool ahead =
        hears_most_ && state.level + slack >= 1 + unseen(state, now);
    const bool permitted = state.allowance >= 1 || ahead ||
                           (!settings_.bound_unseen && state.level >= 1);
    if (permitted &&
        (reachable_ >= entries() || has_token_when_cut_off(team, limit)))
    {
        admit(team, state, now);
        return std::nullopt;
    }
    if (now - state.announced_at > refused_interval)
        mark_changed(team, state);
    const double of_fleet = (1 - state.level - part.slack) / part.rate;
    const double of_share =
        std::min((1 - state.allowance) / (share * part.rate), age);
    const seconds wait(std::max({of_fleet, of_share, 1 / part.rate}));
    return duration_cast<common::duration>(wait);
}

void fleet_quota::admit(std::uint64_t team, team_state& state, time_point now)
{
    state.level -= 1;
    state.allowance -= 1;
    ++state.admitted;
    ++admitted_by_all_;
    mark_changed(team, state);
    if (state.limit.requests_per_second <= 0)
        return;
    if (state.recent.empty() ||
        now - state.recent.back().at > admission_interval)
        state.recent.push_back({now, 0});
    ++state.recent.back().count;
}

void fleet_quota::give_back(std::uint64_t team)
{
    const auto found = teams_.find(team);
    if (found == teams_.end())
        return;
    auto& state = found->second;
    state.level += 1;
    state.allowance += 1;
    --state.admitted;
    --admitted_by_all_;
    if (!state.recent.empty() && state.recent.back().count > 0)
        --state.recent.back().count;
    mark_changed(team, state);
}

void fleet_quota::mark_changed(std::uint64_t team, team_state& state)
{
    if (state.repeats_left == 0)
        changed_.push_back(team);
    state.repeats_left = settings_.repeats;
}

std::vector<team_use> fleet_quota::take_uses(std::size_t max, time_point now)
{
    refresh(now);
    std::vector<team_use> uses;
    const auto add = [&](std::uint64_t team, team_state& state)
    {
        state.announced_at = now;
        uses.push_back(
            {team, state.admitted,
             static_cast<std::uint32_t>(std::lround(own_rate(state, now)))});
    };
    std::vector<std::uint64_t> later;
    std::size_t i = 0;
    for (; i < changed_.size() && uses.size() < max; ++i)
    {
        const auto found = teams_.find(changed_[i]);
        if (found == teams_.end())
            continue;
        add(found->first, found->second);
        if (--found->second.repeats_left > 0)
            later.push_back(found->first);
    }

    // Teams for which there was no room come first in the next message.
    changed_.erase(changed_.begin(),
                   changed_.begin() + static_cast<std::ptrdiff_t>(i));
    changed_.insert(changed_.end(), later.begin(), later.end());

    if (uses.size() < max && !own_.empty())
    {
        next_own_ = (next_own_ + 1) % own_.size();
        const auto found = teams_.find(own_[next_own_]);
        const bool is_sent = found == teams_.end() ||
                             found->second.repeats_left != 0 ||
                             std::ranges::find(uses, found->first,
                                               &team_use::team) != uses.end();
        if (!is_sent)
            add(found->first, found->second);
    }
    return uses;
}

void fleet_quota::expire(time_point now)
{
    std::erase_if(teams_, [&](const auto& it)
                  { return now - it.second.used_at > settings_.idle_time; });
    std::erase_if(own_,
                  [&](std::uint64_t team)
                  {
                      const auto found = teams_.find(team);
                      if (found == teams_.end())
                          return true;
                      auto& state = found->second;
                      if (now - state.asked_at < settings_.idle_time)
                          return false;
                      state.is_listed = false;
                      return true;
                  });
}

std::size_t fleet_quota::bytes() const
{
    std::size_t n =
        entries_.capacity() * sizeof(entry_state) +
        (changed_.capacity() + own_.capacity()) * sizeof(std::uint64_t);
    for (const auto& [team, state] : teams_)
        n += sizeof(state) + node_overhead +
             state.told.capacity() * sizeof(told_use) +
             state.recent.capacity() * sizeof(admissions);
    return n;
}

} // namespace tanagertrack::teams
