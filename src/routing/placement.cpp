#include "routing/placement.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace tanagertrack::routing
{

namespace
{

using fractional_ms = std::chrono::duration<double, std::milli>;

/// Way to and from a target, by distance.
constexpr double way_ms[] = {0.3, 3.0, 16.0};

/// What each further running request adds to the time of a token, in parts of
/// the time to the first token of an empty target.
constexpr double crowding = 0.05;

/// Places that a target has for each one that batch items leave free, so that
/// small targets take batch items too.
constexpr std::uint32_t min_slots_per_reserve = 4;

/// Added to the cost of a target that failed a moment ago.
constexpr double avoided_ms = 10000;

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

std::chrono::milliseconds whole_ms(double value)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(value));
}

/// Places of a target for batch items.
std::uint32_t batch_places(const target_load& it, std::uint32_t reserve,
                           common::time_point now)
{
    const auto kept = std::min(reserve, it.slots / min_slots_per_reserve);
    const auto free = it.free_slots();
    return it.health.is_avoided(now) ? 0 : free - std::min(free, kept);
}

/// A place for a batch item.
struct batch_place
{
    /// Places that its target has left with it.
    std::uint32_t level = 0;

    /// Name of its target: the order among places of one level.
    std::uint32_t key = 0;
    std::size_t candidate = 0;
};

bool comes_before(const batch_place& a, const batch_place& b)
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

double placement::slowdown(const target_load& it, common::time_point now) const
{
    const bool known =
        it.reported.slowdown > 0 &&
        now - it.reported.received_at < settings_.report_lifetime;
    return known ? it.reported.slowdown : 1.0;
}

fractional_ms placement::online_wait(const target_load& it,
                                     common::time_point now) const
{
    if (it.online() >= it.slots)
    {
        // Places become free one after the other.
        const double ahead = it.online() - it.slots + 1;
        return fractional_ms(ahead * to_ms(settings_.service_time) / it.slots *
                             slowdown(it, now));
    }
    if (it.free_slots() > 0)
        return fractional_ms(0);
    return it.own_batch > 0 ? settings_.own_preemption
                            : settings_.peer_preemption;
}

double placement::cost_ms(const target_load& it, double wait_ms,
                          common::time_point now) const
{
    const double busy = 1 + crowding * it.total();
    const double online_share = static_cast<double>(it.online()) / it.slots;
    double cost = wait_ms + way_ms[static_cast<unsigned>(it.proximity)] +
                  to_ms(settings_.first_token) * busy * slowdown(it, now) +
                  to_ms(settings_.online_risk) * online_share;
    if (it.health.is_avoided(now))
        cost += avoided_ms;
    return cost;
}

std::optional<placement_choice>
placement::choose_online(std::span<const target_load* const> candidates,
                         common::time_point now)
{
    if (candidates.empty())
        return std::nullopt;
    if (settings_.policy != placement_policy::expected_start)
    {
        const auto index = choose_baseline(candidates);
        const auto wait = online_wait(*candidates[index], now);
        return placement_choice{index, whole_ms(wait.count())};
    }

    double best = 0;
    placement_choice choice;
    constexpr std::size_t tie_steps = 1000;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto wait = online_wait(*candidates[i], now).count();
        const double tie = to_ms(settings_.tie_width) *
                           static_cast<double>(random_(tie_steps)) / tie_steps;
        const double cost = cost_ms(*candidates[i], wait, now) + tie;
        if (i == 0 || cost < best)
        {
            best = cost;
            choice = {i, whole_ms(wait)};
        }
    }
    return choice;
}

std::optional<placement_choice>
placement::choose_batch(std::span<const target_load* const> candidates,
                        std::uint32_t reserve, std::uint32_t reserved_for_peers,
                        common::time_point now) const
{
    std::vector<batch_place> places;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto& it = *candidates[i];
        for (auto n = batch_places(it, reserve, now); n != 0; --n)
            places.push_back({n, it.key, i});
    }
    if (places.size() <= reserved_for_peers)
        return std::nullopt;
    const auto chosen = places.begin() + reserved_for_peers;
    std::ranges::nth_element(places, chosen, comes_before);
    return placement_choice{chosen->candidate, std::chrono::milliseconds(0)};
}

std::uint32_t
placement::count_batch_slots(std::span<const target_load* const> candidates,
                             std::uint32_t reserve, common::time_point now)
{
    std::uint32_t sum = 0;
    for (const auto* it : candidates)
        sum += batch_places(*it, reserve, now);
    return sum;
}

std::size_t
placement::choose_baseline(std::span<const target_load* const> candidates)
{
    std::vector<candidate> all;
    all.reserve(candidates.size());
    for (const auto* it : candidates)
        all.push_back(
            {static_cast<double>(it->total()) / it->slots, it->proximity, 1});
    return baseline_.choose(all);
}

} // namespace tanagertrack::routing
