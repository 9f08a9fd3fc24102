#include "batch/peer_reservation.hpp"

#include <algorithm>

namespace tanagertrack::batch
{

std::uint32_t peer_reservation::reserved_for_peers(std::uint32_t free_slots,
                                                   std::uint32_t items_ahead,
                                                   common::time_point now)
{
    // No slot was free at the last call, or slots were taken since: other
    // processes may be starting their items, and the reservation starts anew.
    if (last_free_slots_ == 0 || free_slots < last_free_slots_)
        free_since_ = now;
    last_free_slots_ = free_slots;
    const auto elapsed_grants =
        static_cast<std::uint32_t>((now - free_since_) / grant_time);
    return items_ahead - std::min(items_ahead, elapsed_grants);
}

} // namespace tanagertrack::batch
