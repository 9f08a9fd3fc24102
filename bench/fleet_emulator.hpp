#ifndef TANAGERTRACK_BENCH_FLEET_EMULATOR_HPP
#define TANAGERTRACK_BENCH_FLEET_EMULATOR_HPP

#include "routing/placement.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace tanagertrack::bench
{

/// A fleet and its load. The defaults are those of retorno-sul: online traffic
/// that jumps between 0.378 and 1.85 of its mean every few seconds, and batch
/// items for all places that are left.
struct emulator_settings
{
    routing::placement_policy policy =
        routing::placement_policy::expected_start;

    /// Whether there are batch items.
    bool has_batch = true;

    /// Places of each target that batch items leave free.
    std::uint32_t reserve = 1;
    std::size_t entries = 10;
    std::size_t targets = 18;
    std::uint32_t slots = 8;

    /// Mean of the online requests in a second.
    double online_per_second = 75;

    /// Traffic in parts of its mean, and how long each lasts.
    double low = 0.378;
    double high = 1.85;
    std::chrono::milliseconds low_time{3000};
    std::chrono::milliseconds high_time{2200};

    /// Time of a request and of a batch item on an empty target; each further
    /// running request adds `crowding` of it.
    std::chrono::milliseconds online_time{700};
    std::chrono::milliseconds batch_time{4500};
    double crowding = 0.05;

    /// Time between two load messages of an entry, and on their way.
    std::chrono::milliseconds message_interval{15};
    std::chrono::milliseconds message_delay{2};

    /// Time between an entry's looks for places for items.
    std::chrono::milliseconds batch_look{10};
    std::chrono::milliseconds length{60000};
    std::uint64_t seed = 1;
};

/// What came of the load.
struct emulator_result
{
    /// Online requests that started, and the time from arrival to start in
    /// milliseconds, of half and of 99 of 100 of them.
    std::uint64_t online = 0;
    double wait_p50_ms = 0;
    double wait_p99_ms = 0;

    /// Online requests that found their target full.
    std::uint64_t queued = 0;

    /// Batch items that ended, and runs of items that were taken back.
    std::uint64_t items = 0;
    std::uint64_t preempted = 0;

    /// Share of all places that ran something, over time.
    double use = 0;
};

/// Plays a load in simulated time, in steps of 1 ms, with the decisions of the
/// entries: placement, and the taking back of batch items. Each entry knows its
/// own requests, and those of others as of their last message. The same seed
/// gives the same result.
emulator_result emulate(const emulator_settings& settings);

} // namespace tanagertrack::bench

#endif
