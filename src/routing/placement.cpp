#include "routing/placement.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace tanagertrack::routing
{

namespace
{

using fractional_ms = std::chrono::duration<double, std::milli>;

/// Increase of the time to the first token for each request that is under way
/// at the target, relative to an empty target.
constexpr double slowdown_per_request = 0.05;

/// At most one slot in this many is reserved, so that targets with few slots
/// run batch items too.
constexpr std::uint32_t min_slots_per_reserve = 4;

/// Added to the cost, in ms, of a target that is avoided after a failure.
constexpr double avoided_cost_ms = 10000;

/// Cost, in ms, of a target that has as many online requests as its knee. Less
/// than the wait for a slot, so that a target beyond its knee is still used
/// before a full one.
constexpr double knee_cost_ms = 60;

/// Cost, in ms, of a target that would refuse the request. Requests of other
/// entries that this one does not know of yet arrive before it.
constexpr double no_room_cost_ms = 5000;
constexpr std::uint32_t room_margin = 2;

/// Share of the run time's expected difference from the usual one that is part
/// of the cost. With a greater share, the fastest targets would get all
/// requests while they have free slots, and none for those that arrive next.
constexpr double finish_share = 0.005;

/// Returns the simple policy with the same name. The value for `expected_start`
/// is not used.
choice_policy baseline_policy(placement_policy policy)
{
    switch (policy)
    {
    case placement_policy::round_robin:
        return choice_policy::round_robin;
    case placement_policy::random:
        return choice_policy::random;
    default:
        return choice_policy::two_choices;
    }
}

double to_ms(std::chrono::milliseconds value)
{
    return fractional_ms(value).count();
}

std::chrono::milliseconds truncate_to_ms(double value)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(value));
}

/// Returns the number of slots of a target that are free for batch items; 0 for
/// a target that is avoided.
std::uint32_t free_batch_slots(const target_load& load, std::uint32_t reserve,
                               common::time_point now)
{
    const auto reserved = std::min(reserve, load.slots / min_slots_per_reserve);
    const auto usable = load.capacity.knee != 0
                            ? std::min(load.slots, load.capacity.knee)
                            : load.slots;
    const auto free = usable - std::min(usable, load.total());
    return load.health.is_avoided(now) ? 0 : free - std::min(free, reserved);
}

/// A free slot for a batch item.
struct batch_slot
{
    /// Free slots that the target has left, including this one.
    std::uint32_t level = 0;

    /// Key of the target; orders the slots of one level.
    std::uint32_t key = 0;

    /// Index of the target in the candidates.
    std::size_t candidate = 0;
};

/// Returns true if `a` is used before `b`: the slot of the emptier target, then
/// that of the target with the lower key.
bool is_preferred(const batch_slot& a, const batch_slot& b)
{
    return std::pair(b.level, a.key) < std::pair(a.level, b.key);
}

} // namespace

placement_policy parse_placement_policy(std::string_view name)
{
    if (name == "two_choices")
        return placement_policy::two_choices;
    if (name == "round_robin")
        return placement_policy::round_robin;
    if (name == "random")
        return placement_policy::random;
    return placement_policy::expected_start;
}

placement::placement(placement_settings settings, random_below random)
    : settings_(settings), random_(random),
      baseline_(baseline_policy(settings.policy), std::move(random))
{
}

double placement::slowdown(const target_load& load,
                           common::time_point now) const
{
    const bool is_fresh =
        load.reported.slowdown > 0 &&
        now - load.reported.received_at < settings_.report_lifetime;
    return is_fresh ? load.reported.slowdown : 1.0;
}

fractional_ms placement::estimate_online_wait(const target_load& load,
                                              common::time_point now) const
{
    if (load.online() >= load.slots)
    {
        // All slots run online requests: they become free one after the other.
        const double requests_ahead = load.online() - load.slots + 1;
        return fractional_ms(requests_ahead * to_ms(settings_.service_time) /
                             load.slots * slowdown(load, now) *
                             load.capacity.relative_time);
    }
    if (load.free_slots() > 0)
        return fractional_ms(0);
    return load.own_batch > 0 ? settings_.own_preemption
                              : settings_.peer_preemption;
}

double placement::cost_ms(const target_load& load, double wait_ms,
                          common::time_point now) const
{
    const double occupancy_factor = 1 + slowdown_per_request * load.total();
    const double online_share = static_cast<double>(load.online()) / load.slots;
    double cost =
        wait_ms + round_trip_ms[static_cast<unsigned>(load.proximity)] +
        to_ms(settings_.first_token) * occupancy_factor * slowdown(load, now) +
        to_ms(settings_.online_risk) * online_share;
    if (load.capacity.relative_time != 1)
        cost += finish_share * to_ms(settings_.service_time) *
                (load.capacity.relative_time - 1);
    if (load.capacity.knee != 0 && load.online() >= load.capacity.knee)
        cost += knee_cost_ms;
    if (load.capacity.room != 0 &&
        load.online() + room_margin >= load.capacity.room)
        cost += no_room_cost_ms;
    if (load.health.is_avoided(now))
        cost += avoided_cost_ms;
    return cost;
}

std::optional<placement_choice>
placement::choose_online(std::span<const target_load* const> candidates,
                         common::time_point now, bool may_repeat)
{
    if (candidates.empty())
        return std::nullopt;
    if (settings_.policy != placement_policy::expected_start)
    {
        const auto index = choose_by_baseline(candidates);
        const auto wait = estimate_online_wait(*candidates[index], now);
        return placement_choice{index, truncate_to_ms(wait.count())};
    }

    double best = 0;
    placement_choice choice;
    constexpr std::size_t tie_steps = 1000; // resolution of the tie-break
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto wait = estimate_online_wait(*candidates[i], now).count();
        const double tie_break = to_ms(settings_.tie_width) *
                                 static_cast<double>(random_(tie_steps)) /
                                 tie_steps;
        double cost = cost_ms(*candidates[i], wait, now) + tie_break;
        if (!may_repeat && candidates[i]->health.is_distrusted(now))
            cost += to_ms(settings_.distrust);
        if (i == 0 || cost < best)
        {
            best = cost;
            choice = {i, truncate_to_ms(wait)};
        }
    }
    return choice;
}

std::optional<placement_choice>
placement::choose_batch(std::span<const target_load* const> candidates,
                        std::uint32_t reserve, std::uint32_t reserved_for_peers,
                        common::time_point now) const
{
    std::vector<batch_slot> slots;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto& it = *candidates[i];
        for (auto n = free_batch_slots(it, reserve, now); n != 0; --n)
            slots.push_back({n, it.key, i});
    }
    if (slots.size() <= reserved_for_peers)
        return std::nullopt;
    const auto chosen = slots.begin() + reserved_for_peers;
    std::ranges::nth_element(slots, chosen, is_preferred);
    return placement_choice{chosen->candidate, std::chrono::milliseconds(0)};
}

std::uint32_t
placement::count_batch_slots(std::span<const target_load* const> candidates,
                             std::uint32_t reserve, common::time_point now)
{
    std::uint32_t sum = 0;
    for (const auto* it : candidates)
        sum += free_batch_slots(*it, reserve, now);
    return sum;
}

std::size_t
placement::choose_by_baseline(std::span<const target_load* const> candidates)
{
    std::vector<candidate> baseline_candidates;
    baseline_candidates.reserve(candidates.size());
    for (const auto* it : candidates)
        baseline_candidates.push_back(
            {static_cast<double>(it->total()) / it->slots, it->proximity, 1});
    return baseline_.choose(baseline_candidates);
}

} // namespace tanagertrack::routing
