#ifndef TANAGERTRACK_ROUTING_SLOW_TARGET_DETECTOR_HPP
#define TANAGERTRACK_ROUTING_SLOW_TARGET_DETECTOR_HPP

#include "common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tanagertrack::routing
{

/// Thresholds of the detector.
struct slow_target_settings
{
    /// False: all targets are treated alike (baseline).
    bool enabled = true;

    /// A target is slow when its step time (or, without steps, its time to
    /// first token) is above this multiple of the median of the others in its
    /// pool, and normal again below the second one. The gap keeps a
    /// target at the threshold from changing its state with each report.
    double slow_ratio = 2.0;
    double normal_ratio = 1.4;

    /// Largest share of a pool that is avoided: the others could not carry
    /// the traffic of more.
    double max_slow_share = 0.5;

    /// Requests to the pool for each one that tries a slow target again, and
    /// the least time between two tries of a target. One try in 500 stays
    /// below the 99th percentile even when two of ten targets are slow.
    std::uint64_t requests_per_try = 500;
    std::chrono::milliseconds try_interval{500};

    /// A slow target that has got no request for this long is tried whatever
    /// the traffic, so that it returns in a quiet pool too.
    std::chrono::milliseconds max_try_interval{10000};

    /// Share of traffic right after recovery; it doubles with each report.
    double first_share = 0.25;
};

/// Measured times of a target, smoothed where they are measured.
struct target_times
{
    std::uint32_t step_us = 0;
    std::uint32_t first_token_us = 0;
};

/// Finds targets that are slow compared with others of the same pool: those
/// that serve the same models. Time is an argument. One thread; the owner
/// removes targets that are gone.
class slow_target_detector
{
public:
    explicit slow_target_detector(slow_target_settings settings);

    /// Takes a report. Zero times mean that nothing was measured yet.
    void report(std::string_view target, std::string_view pool,
                target_times times, common::time_point now);

    /// Forgets a target.
    void remove(std::string_view target);

    /// Share of traffic for the target now, in [0, 1]; 0: no request unless
    /// no other target is left.
    double share(std::string_view target, common::time_point now) const;

    /// A request was given to the target.
    void chosen(std::string_view target, common::time_point now);

    /// Whether the target counts as slow.
    bool is_slow(std::string_view target) const;

private:
    struct text_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };

    struct target_state
    {
        std::string pool;
        target_times times;
        bool slow = false;
        double share = 1;
        common::time_point last_chosen;
        std::uint64_t pool_requests_at_try = 0;
    };

    struct pool_state
    {
        std::uint64_t requests = 0;
        std::size_t targets = 0;
    };

    template<typename Value>
    using table =
        std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    double ratio(const target_state& state) const;
    bool may_avoid_more(const target_state& state) const;
    double median_of_others(const target_state& state,
                            std::uint32_t target_times::*time) const;
    void set_pool(target_state& state, std::string_view pool);

    slow_target_settings settings_;
    table<target_state> targets_;
    table<pool_state> pools_;
};

} // namespace tanagertrack::routing

#endif
