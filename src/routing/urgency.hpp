#ifndef TANAGERTRACK_ROUTING_URGENCY_HPP
#define TANAGERTRACK_ROUTING_URGENCY_HPP

#include "common/clock.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace tanagertrack::routing
{

/// Order in which batch work gets places; the smaller one comes first. Work
/// that can't be done in time any more comes behind all work that can: when
/// more is asked for than there are places, an order by due time alone would
/// make everything late.
struct urgency_key
{
    bool is_late = false;
    common::time_point due;

    friend auto operator<=>(const urgency_key&, const urgency_key&) = default;
};

/// Batch items of one urgency that wait for a place.
struct waiting_items
{
    /// Service that they need.
    std::string service;
    urgency_key urgency;
    std::uint32_t count = 0;
};

} // namespace tanagertrack::routing

#endif
