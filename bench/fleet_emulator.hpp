#ifndef TANAGERTRACK_BENCH_FLEET_EMULATOR_HPP
#define TANAGERTRACK_BENCH_FLEET_EMULATOR_HPP

#include "bench/emulation_settings.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace tanagertrack::bench
{

/// State of the fleet at one moment of simulated time.
struct fleet_sample
{
    std::chrono::milliseconds at{0};
    std::size_t online_running = 0;
    std::size_t online_waiting = 0;
    std::size_t batch_running = 0;
    std::size_t batch_waiting = 0;
};

/// Results of the online requests.
struct online_result
{
    std::uint64_t requests = 0;

    /// Requests whose first event came within the objective.
    std::uint64_t in_time = 0;
    std::uint64_t refused = 0;

    /// Requests that were lost with their target or entry, or for which none
    /// was reachable.
    std::uint64_t failed = 0;

    /// Requests that found all slots of their target in use.
    std::uint64_t queued = 0;

    /// Time from arrival until the request runs, and until its first event.
    double wait_p50_ms = 0;
    double wait_p99_ms = 0;
    double first_event_p50_ms = 0;
    double first_event_p99_ms = 0;

    /// Time from arrival until the last event.
    double answer_p50_ms = 0;
    double answer_p99_ms = 0;
};

/// Results of the batch items.
struct batch_result
{
    /// Items that were due before the end of the emulation, and those of them
    /// that were completed in time.
    std::uint64_t due = 0;
    std::uint64_t in_time = 0;

    /// Items that were completed, whenever they were due.
    std::uint64_t done = 0;

    /// Runs that were preempted for online requests.
    std::uint64_t preempted = 0;

    /// Events that were generated, but not recorded, when their entry crashed.
    double lost_events = 0;

    /// Returns the share of the due items that were completed in time, or 1 if
    /// none were due.
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

    /// Mean share of the fleet's slots in use.
    double use = 0;
    std::vector<fleet_sample> samples;
};

/// Runs a load in simulated time, in steps of 1 ms. Decisions are made by the
/// modules of the entries. Each entry knows its own requests, and those of
/// other entries as of their last message. The same seed gives the same result,
/// and the same load for each policy.
emulation_result emulate(const emulation_settings& settings);

} // namespace tanagertrack::bench

#endif
