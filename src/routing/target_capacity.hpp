#ifndef TANAGERTRACK_ROUTING_TARGET_CAPACITY_HPP
#define TANAGERTRACK_ROUTING_TARGET_CAPACITY_HPP

#include "common/clock.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace tanagertrack::routing
{

/// What is known of a target's capacity. The default values are those of a
/// target of which nothing is known.
struct capacity_estimate
{
    /// Time that the target's work takes relative to the median target of its
    /// service; 1 as long as the evidence shows no clear difference.
    double relative_time = 1;

    /// Number of requests from which further ones no longer increase the
    /// target's throughput; 0 if it increases up to the announced slots, or if
    /// it is unknown.
    std::uint32_t knee = 0;

    /// Number of requests, running and waiting, at which targets of the service
    /// refuse more; 0 if none did lately.
    std::uint32_t room = 0;

    /// Confidence in `relative_time`, 0 to 1.
    double confidence = 0;
};

/// One piece of evidence of a target's speed.
struct capacity_sample
{
    /// Natural logarithm of the measured time relative to that of the service
    /// with as many requests.
    double log_time = 0;

    /// Requests that the target ran meanwhile.
    double running = 0;

    /// Weight of the evidence, above 0 and at most `max_weight`.
    double weight = 1;

    static constexpr double max_weight = 8;
};

/// Estimates the speed and the knee of one target from samples. Has no clock of
/// its own: the current time is passed in. Not thread-safe.
///
/// The speed is a quantile over the means of short periods. A disturbance of
/// some hundred milliseconds affects all requests that run at that time, but
/// only few of the periods.
class target_capacity
{
public:
    /// Logarithm of the target's relative time, before it is compared with the
    /// other targets of the service.
    struct speed
    {
        double log_time = 0;

        /// Standard error of `log_time`.
        double error = 0;

        /// Number of periods with evidence.
        std::size_t periods = 0;
    };

    /// `slots` is the number of requests that the target runs concurrently.
    explicit target_capacity(std::uint32_t slots);

    /// Adds a sample. `running` counts requests of all entries.
    void add(const capacity_sample& sample, common::time_point now);

    /// Takes the opinion of another entry. It has no effect on a target of
    /// which enough evidence is known.
    void add_hint(double log_time, std::uint32_t knee, common::time_point now);

    /// Returns the speed; without `periods` it is unknown.
    speed estimate_speed(common::time_point now) const;

    /// Returns the knee, 0 if unknown. `slope` is the increase of the service's
    /// time for each further request, relative to that of an idle target.
    std::uint32_t estimate_knee(double slope, common::time_point now) const;

private:
    /// Evidence of a short period.
    struct period
    {
        common::time_point begin;
        double weight = 0;
        double sum = 0;
    };

    /// Evidence with one number of running requests; decays with time.
    struct level
    {
        common::time_point updated;
        double weight = 0;
        double log_time = 0;
    };

    /// Number of periods over which the speed is estimated. With
    /// `period_length` they span 3 s of steady evidence.
    static constexpr std::size_t max_periods = 12;

    /// Updates the evidence at the number of requests of a sample.
    void add_to_level(const capacity_sample& sample, common::time_point now);

    std::array<period, max_periods> periods_;

    /// Index of the period that is being filled, and the number of those with
    /// evidence.
    std::size_t current_ = 0;
    std::size_t used_ = 0;

    /// Indexed by the number of running requests minus 1.
    std::vector<level> levels_;

    double hinted_log_time_ = 0;
    std::uint32_t hinted_knee_ = 0;
    common::time_point hinted_at_;
};

} // namespace tanagertrack::routing

#endif
