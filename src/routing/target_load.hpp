#ifndef TANAGERTRACK_ROUTING_TARGET_LOAD_HPP
#define TANAGERTRACK_ROUTING_TARGET_LOAD_HPP

#include "common/clock.hpp"
#include "routing/subset.hpp"
#include "routing/target_health.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace tanagertrack::routing
{

/// Class of work; online work goes before batch work.
enum class work_class : std::uint8_t
{
    online,
    batch
};

/// What a target reported of itself with an answer.
struct load_report
{
    /// Requests that run and that wait, of all callers.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    /// Time that work takes, relative to the usual; 0: not reported.
    double slowdown = 0;
    common::time_point received_at;

    /// It came with an answer to this process, not from another entry.
    bool received_directly = false;
};

/// What an entry knows of the load of one target.
struct target_load
{
    /// Short name of the target, the same in all entries.
    std::uint32_t key = 0;

    /// Requests that the target runs at a time, at least 1.
    std::uint32_t slots = 1;
    distance proximity = distance::same_data_centre;

    /// Requests under way from this entry, and from others as they told.
    std::uint32_t own_online = 0;
    std::uint32_t own_batch = 0;
    std::uint32_t peer_online = 0;
    std::uint32_t peer_batch = 0;

    load_report reported;

    /// What the ends of this entry's attempts say of the target.
    target_health health;

    /// Online requests under way.
    std::uint32_t online() const
    {
        return own_online + peer_online;
    }

    /// Batch items under way.
    std::uint32_t batch() const
    {
        return own_batch + peer_batch;
    }

    /// Requests under way.
    std::uint32_t total() const
    {
        return online() + batch();
    }

    /// Places that are taken by nobody.
    std::uint32_t free_slots() const
    {
        return slots - std::min(slots, total());
    }
};

} // namespace tanagertrack::routing

#endif
