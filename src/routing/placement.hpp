#ifndef TANAGERTRACK_ROUTING_PLACEMENT_HPP
#define TANAGERTRACK_ROUTING_PLACEMENT_HPP

#include "routing/target_choice.hpp"
#include "routing/target_load.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace tanagertrack::routing
{

/// Policy by which targets are chosen for online requests.
enum class placement_policy
{
    /// The target on which the request is expected to start first.
    expected_start,

    /// Simple policies for comparison, see `choice_policy`.
    two_choices,
    round_robin,
    random
};

/// Returns the policy with the name of a setting's value, or `expected_start`
/// if the name is unknown.
placement_policy parse_placement_policy(std::string_view name);

/// Policy, and the durations from which waits and costs are estimated.
struct placement_settings
{
    placement_policy policy = placement_policy::expected_start;

    /// Typical run time of an online request on a fully occupied target.
    std::chrono::milliseconds service_time{750};

    /// Time from the preemption of a batch item of this entry until its slot is
    /// free.
    std::chrono::milliseconds own_preemption{10};

    /// Time until another entry has received the load message that makes it
    /// preempt a batch item, and the item's slot is free.
    std::chrono::milliseconds peer_preemption{45};

    /// Time to the first token of a request that starts at once on an empty
    /// target.
    std::chrono::milliseconds first_token{30};

    /// Cost of a target whose slots are all occupied by online requests; scaled
    /// by the share of slots that they occupy. Online requests are not
    /// preempted, and another entry may be sending a request to the same target
    /// at this moment.
    std::chrono::milliseconds online_risk{30};

    /// Load reports of this age or older are ignored.
    std::chrono::milliseconds report_lifetime{1000};

    /// Upper bound of a random cost that is added to each target. Targets whose
    /// costs differ by less are chosen at random, so that entries with the same
    /// view don't all choose the same target.
    std::chrono::milliseconds tie_width{6};

    /// Cost of a target that has failed a short time ago, for a request that
    /// can't be repeated; see target_health::is_distrusted.
    std::chrono::milliseconds distrust{0};
};

/// Chosen target and the expected wait there.
struct placement_choice
{
    /// Index into the candidates.
    std::size_t index = 0;

    /// Estimated time until the request starts to run; 0 for a batch item.
    std::chrono::milliseconds wait{0};
};

/// Chooses a target for each online request and batch item from the known loads
/// of the targets. Capacities that were learned are part of the load; without
/// them all targets are assumed equally fast. Keeps no load itself and has no
/// clock of its own: loads and the current time are passed in. Not thread-safe.
class placement
{
public:
    /// `random` is the only source of randomness and must not be empty.
    placement(placement_settings settings, random_below random);

    /// Chooses the target for an online request. Slots occupied by batch items
    /// count as available after the time of a preemption. `may_repeat` is false
    /// if the request fails together with its target. Returns std::nullopt only
    /// if there are no candidates.
    std::optional<placement_choice>
    choose_online(std::span<const target_load* const> candidates,
                  common::time_point now, bool may_repeat = true);

    /// Chooses a target with a free slot for a batch item. Returns std::nullopt
    /// if there is none.
    ///
    /// Of each target, `reserve` slots are left free for online requests, but
    /// at most a quarter of its slots. The first `reserved_for_peers` free
    /// slots are left to items of other entries. Slots beyond a learned knee
    /// are not used. All entries order the free
    /// slots in the same way, the emptiest targets first, so that entries that
    /// start items at the same moment choose different slots.
    std::optional<placement_choice>
    choose_batch(std::span<const target_load* const> candidates,
                 std::uint32_t reserve, std::uint32_t reserved_for_peers,
                 common::time_point now) const;

    /// Returns the number of slots that are free for batch items on all
    /// candidates, with the same `reserve` as in `choose_batch`.
    static std::uint32_t
    count_batch_slots(std::span<const target_load* const> candidates,
                      std::uint32_t reserve, common::time_point now);

    /// Estimates the time until an online request would start on the target.
    std::chrono::duration<double, std::milli>
    estimate_online_wait(const target_load& load, common::time_point now) const;

    const placement_settings& settings() const
    {
        return settings_;
    }

private:
    /// Returns the cost in ms by which targets are compared: the expected time
    /// to the first token, plus costs of risks.
    double cost_ms(const target_load& load, double wait_ms,
                   common::time_point now) const;

    /// Returns the reported slowdown of a target, or 1 if the report is too old
    /// or there is none.
    double slowdown(const target_load& load, common::time_point now) const;

    /// Returns the index of the candidate that a policy for comparison chooses.
    std::size_t
    choose_by_baseline(std::span<const target_load* const> candidates);

    placement_settings settings_;
    random_below random_;
    target_choice baseline_;
};

} // namespace tanagertrack::routing

#endif
