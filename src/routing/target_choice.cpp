#include "routing/target_choice.hpp"

#include <boost/assert.hpp>

#include <utility>

namespace tanagertrack::routing
{

namespace
{

/// Cost of a distance, in requests per slot and indexed by `distance`: traffic
/// goes to another data centre when the load of the near target is higher by
/// this much. The network delay is a few milliseconds, which is less than the
/// wait for one slot.
constexpr double distance_cost[] = {0.0, 0.1, 0.4};

/// Resolution of the shares in the random choice.
constexpr std::size_t share_steps = 1000;

double cost(const candidate& it)
{
    return (it.load + distance_cost[static_cast<unsigned>(it.proximity)]) /
           it.share;
}

} // namespace

choice_policy parse_choice_policy(std::string_view name)
{
    if (name == "round_robin")
        return choice_policy::round_robin;
    if (name == "random")
        return choice_policy::random;
    return choice_policy::two_choices;
}

target_choice::target_choice(choice_policy policy, random_below random)
    : policy_(policy), random_(std::move(random))
{
}

std::size_t target_choice::choose(std::span<const candidate> candidates)
{
    BOOST_ASSERT(!candidates.empty());
    switch (policy_)
    {
    case choice_policy::round_robin:
        return next_++ % candidates.size();
    case choice_policy::random:
        return random_(candidates.size());
    case choice_policy::two_choices:
        break;
    }
    return choose_of_two(candidates);
}

std::size_t target_choice::pick_by_share(std::span<const candidate> candidates)
{
    double total = 0;
    for (const auto& it : candidates)
        total += it.share;
    const auto steps = share_steps * candidates.size();
    double remaining = total * (static_cast<double>(random_(steps)) + 0.5) /
                       static_cast<double>(steps);
    for (std::size_t i = 0; i + 1 < candidates.size(); ++i)
    {
        remaining -= candidates[i].share;
        if (remaining < 0)
            return i;
    }
    return candidates.size() - 1;
}

std::size_t target_choice::choose_of_two(std::span<const candidate> candidates)
{
    const auto first = pick_by_share(candidates);
    if (candidates.size() == 1)
        return first;

    // If both picks are the same candidate, the second one is replaced by any
    // other candidate at random.
    auto second = pick_by_share(candidates);
    if (second == first)
        second =
            (first + 1 + random_(candidates.size() - 1)) % candidates.size();
    return cost(candidates[second]) < cost(candidates[first]) ? second : first;
}

} // namespace tanagertrack::routing
