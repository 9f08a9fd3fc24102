#include "batch/peer_reservation.hpp"

#include <algorithm>

namespace tanagertrack::batch
{

std::uint32_t peer_reservation::reserved_for_peers(std::uint32_t free,
                                                   std::uint32_t before,
                                                   common::time_point now)
{
    // Somebody took a place: the others are at work.
    if (last_free_ == 0 || free < last_free_)
        free_since_ = now;
    last_free_ = free;
    const auto passed =
        static_cast<std::uint32_t>((now - free_since_) / grant_time);
    return before - std::min(before, passed);
}

} // namespace tanagertrack::batch
