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

/// How targets are chosen for online requests.
enum class placement_policy
{
    /// The target on which the request is expected to start first.
    expected_start,

    /// Baselines.
    two_choices,
    round_robin,
    random
};

/// Policy of a setting's value; `expected_start` for an unknown one.
placement_policy parse_placement_policy(std::string_view name);

/// Times on which estimates rest.
struct placement_settings
{
    placement_policy policy = placement_policy::expected_start;

    /// Time from start to end of a usual online request on a full target.
    std::chrono::milliseconds service_time{750};

    /// Time until a batch item of this entry has left its place.
    std::chrono::milliseconds own_preemption{10};

    /// Time until another entry has learnt that its batch item is in the way
    /// and has taken it back.
    std::chrono::milliseconds peer_preemption{45};

    /// Time to the first token of a request that starts at once.
    std::chrono::milliseconds first_token{30};

    /// Cost of a target all of whose places have online requests, in parts by
    /// their share: these can't be taken back for the next request, which
    /// another entry may be sending there.
    std::chrono::milliseconds online_risk{30};

    /// Age from which on a report says nothing any more.
    std::chrono::milliseconds report_lifetime{1000};

    /// Estimates closer than this are equal. Breaks ties at random, so that
    /// entries with the same view don't choose the same target.
    std::chrono::milliseconds tie_width{6};
};

/// A chosen target.
struct placement_choice
{
    /// Index into the candidates.
    std::size_t index = 0;

    /// Estimated time until the request starts to run.
    std::chrono::milliseconds wait{0};
};

/// Chooses targets. Pure but for the random numbers that are passed in. One
/// thread.
class placement
{
public:
    placement(placement_settings settings, random_below random);

    /// Target for an online request. Batch items count as places that can be
    /// had: they give way. Nothing without candidates.
    std::optional<placement_choice>
    choose_online(std::span<const target_load* const> candidates,
                  common::time_point now);

    /// Target with a place that nobody needs, for a batch item; nothing if
    /// there is none. `reserve` places of each target are left free, but at
    /// most a quarter of them. The first `reserved_for_peers` places are left
    /// to items of other entries: all entries see the places in the same order,
    /// the emptiest targets first, so that several that start items at the same
    /// moment choose different ones.
    std::optional<placement_choice>
    choose_batch(std::span<const target_load* const> candidates,
                 std::uint32_t reserve, std::uint32_t reserved_for_peers,
                 common::time_point now) const;

    /// Places for batch items on the candidates.
    static std::uint32_t
    count_batch_slots(std::span<const target_load* const> candidates,
                      std::uint32_t reserve, common::time_point now);

    /// Estimated time until an online request starts on the target.
    std::chrono::duration<double, std::milli>
    online_wait(const target_load& it, common::time_point now) const;

    const placement_settings& settings() const
    {
        return settings_;
    }

private:
    double cost_ms(const target_load& it, double wait_ms,
                   common::time_point now) const;
    double slowdown(const target_load& it, common::time_point now) const;
    std::size_t choose_baseline(std::span<const target_load* const> candidates);

    placement_settings settings_;
    random_below random_;
    target_choice baseline_;
};

} // namespace tanagertrack::routing

#endif
