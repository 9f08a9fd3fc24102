#ifndef TANAGERTRACK_ROUTING_TARGET_CHOICE_HPP
#define TANAGERTRACK_ROUTING_TARGET_CHOICE_HPP

#include "routing/subset.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string_view>

namespace tanagertrack::routing
{

/// How a target is chosen.
enum class choice_policy
{
    two_choices,
    round_robin,
    random
};

/// Policy of a setting's value; two_choices for an unknown one.
choice_policy parse_choice_policy(std::string_view name);

/// A target that can take a request.
struct candidate
{
    /// Requests running and queued, divided by slots; at least 0.
    double load = 0;
    distance proximity = distance::same_data_centre;

    /// Share of traffic in (0, 1]: below 1 for a target that is slow.
    double share = 1;
};

/// Returns a random number below its argument, which is at least 1.
using random_below = std::function<std::size_t(std::size_t)>;

/// Chooses a target for each request. One thread.
class target_choice
{
public:
    target_choice(choice_policy policy, random_below random);

    /// Index of the chosen candidate; `candidates` is not empty.
    std::size_t choose(std::span<const candidate> candidates);

private:
    std::size_t pick_by_share(std::span<const candidate> candidates);
    std::size_t choose_of_two(std::span<const candidate> candidates);

    choice_policy policy_;
    random_below random_;
    std::uint64_t next_ = 0;
};

} // namespace tanagertrack::routing

#endif
