#ifndef TANAGERTRACK_BATCH_PEER_RESERVATION_HPP
#define TANAGERTRACK_BATCH_PEER_RESERVATION_HPP

#include "common/clock.hpp"

#include <chrono>
#include <cstdint>

namespace tanagertrack::batch
{

/// Reserves free slots of a service for more urgent items of other processes. A
/// process that is cut off or frozen can't start its items and must not keep
/// the others from working: while slots stay free, one reserved slot is
/// released after each `grant_time`. Has no clock of its own: the current time
/// is passed in. Not thread-safe.
class peer_reservation
{
public:
    /// Time in which a process learns of a free slot and uses it.
    static constexpr std::chrono::milliseconds grant_time{40};

    /// Returns the number of slots to leave to other processes while
    /// `free_slots` slots of the service are free and other processes have
    /// `items_ahead` more urgent items. At most `items_ahead`.
    std::uint32_t reserved_for_peers(std::uint32_t free_slots,
                                     std::uint32_t items_ahead,
                                     common::time_point now);

private:
    std::uint32_t last_free_slots_ = 0;
    common::time_point free_since_;
};

} // namespace tanagertrack::batch

#endif
