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

/// Simple policies of choosing a target: the one with the lower cost of two
/// that are picked at random, each in turn, or one picked at random.
enum class choice_policy
{
    two_choices,
    round_robin,
    random
};

/// Returns the policy with the name of a setting's value, or `two_choices` if
/// the name is unknown.
choice_policy parse_choice_policy(std::string_view name);

/// A target to which a request can be sent.
struct candidate
{
    /// Requests running and queued, divided by slots; at least 0.
    double load = 0;
    distance proximity = distance::same_data_centre;

    /// Share of the usual traffic, in (0, 1]; below 1 for a slow target.
    double share = 1;
};

/// Returns a random number below its argument, which is at least 1.
using random_below = std::function<std::size_t(std::size_t)>;

/// Chooses a target for each request by a `choice_policy`. Not thread-safe.
class target_choice
{
public:
    target_choice(choice_policy policy, random_below random);

    /// Returns the index of the chosen candidate. `candidates` must not be
    /// empty.
    std::size_t choose(std::span<const candidate> candidates);

private:
    /// Picks a candidate at random with a probability in proportion to its
    /// share.
    std::size_t pick_by_share(std::span<const candidate> candidates);
    std::size_t choose_of_two(std::span<const candidate> candidates);

    choice_policy policy_;
    random_below random_;
    std::uint64_t next_ = 0;
};

} // namespace tanagertrack::routing

#endif
