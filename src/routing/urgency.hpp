#ifndef TANAGERTRACK_ROUTING_URGENCY_HPP
#define TANAGERTRACK_ROUTING_URGENCY_HPP

#include "common/clock.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace tanagertrack::routing
{

/// Sort key of batch work that waits for slots; the smallest key is started
/// first. Work that can no longer be done in time comes after all work that
/// can: when there is more work than slots, an order by due time alone would
/// make everything late.
struct urgency_key
{
    /// True if the work can no longer be done in time.
    bool is_late = false;
    common::time_point due;

    friend auto operator<=>(const urgency_key&, const urgency_key&) = default;
};

/// Number of batch items of one service and urgency that wait for a slot.
struct waiting_items
{
    /// Name of the service that runs the items.
    std::string service;
    urgency_key urgency;
    std::uint32_t count = 0;
};

} // namespace tanagertrack::routing

#endif
