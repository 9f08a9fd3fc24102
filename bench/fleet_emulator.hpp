#ifndef TANAGERTRACK_BENCH_FLEET_EMULATOR_HPP
#define TANAGERTRACK_BENCH_FLEET_EMULATOR_HPP

#include "bench/emulation_settings.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace tanagertrack::bench
{

/// The fleet at one moment.
struct fleet_sample
{
    std::chrono::milliseconds at{0};
    std::size_t online_running = 0;
    std::size_t online_waiting = 0;
    std::size_t batch_running = 0;
    std::size_t batch_waiting = 0;
};

/// What came of the online requests.
struct online_result
{
    std::uint64_t requests = 0;

    /// First event within the objective.
    std::uint64_t in_time = 0;
    std::uint64_t refused = 0;

    /// Lost with their target or their entry.
    std::uint64_t failed = 0;

    /// Found their target full.
    std::uint64_t queued = 0;

    /// Time from arrival until it runs, and until its first event.
    double wait_p50_ms = 0;
    double wait_p99_ms = 0;
    double first_event_p50_ms = 0;
    double first_event_p99_ms = 0;

    /// Time until its last event.
    double answer_p50_ms = 0;
    double answer_p99_ms = 0;
};

/// What came of the batch items.
struct batch_result
{
    /// Items that were due before the end, and those of them that were done in
    /// time.
    std::uint64_t due = 0;
    std::uint64_t in_time = 0;
    std::uint64_t done = 0;

    /// Runs that gave way to online work.
    std::uint64_t preempted = 0;

    /// Events that were made and lost with their entry.
    double lost_events = 0;

    /// Share of the items that were due that was done in time.
    double in_time_share() const
    {
        return due == 0
                   ? 1
                   : static_cast<double>(in_time) / static_cast<double>(due);
    }
};

struct emulation_result
{
    online_result online;
    batch_result batch;

    /// Share of all places that ran something, over time.
    double use = 0;
    std::vector<fleet_sample> samples;
};

/// Plays a load in simulated time, in steps of 1 ms, with the decisions of the
/// entries. Each entry knows its own requests, and those of others as of their
/// last message. The same seed gives the same result, and the same load for
/// each policy.
emulation_result emulate(const emulation_settings& settings);

} // namespace tanagertrack::bench

#endif
