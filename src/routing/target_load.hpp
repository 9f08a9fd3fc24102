#ifndef TANAGERTRACK_ROUTING_TARGET_LOAD_HPP
#define TANAGERTRACK_ROUTING_TARGET_LOAD_HPP

#include "common/clock.hpp"
#include "routing/subset.hpp"
#include "routing/target_capacity.hpp"
#include "routing/target_health.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace tanagertrack::routing
{

/// Class of work; online work has priority over batch work.
enum class work_class : std::uint8_t
{
    online,
    batch
};

/// Network round trip to a target in ms, indexed by `distance`.
inline constexpr double round_trip_ms[] = {0.3, 3.0, 16.0};

/// Load that a target reported in a response.
struct load_report
{
    /// Running and waiting requests of all callers.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    /// Run time of requests relative to the usual one; 0 if not reported.
    double slowdown = 0;
    common::time_point received_at;

    /// True if this process received the report from the target, false if
    /// another entry passed it on.
    bool received_directly = false;
};

/// Load of one target as far as an entry knows it.
struct target_load
{
    /// Identifies the target in all entries.
    std::uint32_t key = 0;

    /// Number of requests that the target runs concurrently, at least 1.
    std::uint32_t slots = 1;
    distance proximity = distance::same_data_centre;

    /// Requests under way from this entry, and from other entries (peers)
    /// according to their last load messages.
    std::uint32_t own_online = 0;
    std::uint32_t own_batch = 0;
    std::uint32_t peer_online = 0;
    std::uint32_t peer_batch = 0;

    load_report reported;

    /// Health of the target according to the attempts of this entry, and to
    /// losses that other entries have reported.
    target_health health;

    /// Requests of this entry that the target did not answer, since the process
    /// began, and the time of the last one.
    std::uint32_t losses = 0;
    common::time_point last_loss;

    /// What was learned of the target's capacity. Has its default value unless
    /// the entry learns capacities.
    capacity_estimate capacity;

    /// Online requests under way from all entries.
    std::uint32_t online() const
    {
        return own_online + peer_online;
    }

    /// Batch items under way from all entries.
    std::uint32_t batch() const
    {
        return own_batch + peer_batch;
    }

    /// Online requests and batch items under way from all entries.
    std::uint32_t total() const
    {
        return online() + batch();
    }

    /// Slots without a request; 0 if more requests are under way than there are
    /// slots.
    std::uint32_t free_slots() const
    {
        return slots - std::min(slots, total());
    }
};

} // namespace tanagertrack::routing

#endif
