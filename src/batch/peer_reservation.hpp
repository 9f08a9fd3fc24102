#ifndef TANAGERTRACK_BATCH_PEER_RESERVATION_HPP
#define TANAGERTRACK_BATCH_PEER_RESERVATION_HPP

#include "common/clock.hpp"

#include <chrono>
#include <cstdint>

namespace tanagertrack::batch
{

/// Whose turn it is to take the free places of a service. Each process leaves
/// places to the more urgent items of others. One that can't start its items,
/// being cut off or frozen, must not keep the others from working: while places
/// stay free, the turn moves on. Pure: time is an argument. One thread.
class peer_reservation
{
public:
    /// Time in which a process learns of a free place and takes it.
    static constexpr std::chrono::milliseconds grant_time{40};

    /// Places that are left to others, of `free` places for which they have
    /// `before` more urgent items.
    std::uint32_t reserved_for_peers(std::uint32_t free_slots,
                                     std::uint32_t items_ahead,
                                     common::time_point now);

private:
    std::uint32_t last_free_slots_ = 0;
    common::time_point free_since_;
};

} // namespace tanagertrack::batch

#endif
