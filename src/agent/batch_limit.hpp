#ifndef TANAGERTRACK_AGENT_BATCH_LIMIT_HPP
#define TANAGERTRACK_AGENT_BATCH_LIMIT_HPP

#include "common/clock.hpp"

#include <cstdint>
#include <optional>

namespace tanagertrack::agent
{

/// Constants of the adaptive limit on batch work.
struct batch_limit_settings
{
    /// Smoothed time over best time at which the target counts as slowed. A
    /// step grows by less than this when batch fills an unslowed engine.
    double slowed_ratio = 3;

    /// Factor on the limit for each reduction.
    double decrease = 0.75;

    /// Shortest time between two reductions and between two raises by one.
    std::chrono::milliseconds decrease_interval{200};
    std::chrono::milliseconds increase_interval{500};

    /// Without an online sample for this time nobody is hurt by batch work.
    std::chrono::milliseconds online_memory{2000};

    /// Part by which the best time grows with each sample, so that a lasting
    /// change of the target becomes the normal case.
    double best_drift = 0.0005;

    /// Weight of a new sample in the smoothed time.
    double weight = 0.1;
};

/// Limit on running batch items that follows the target's speed: additive
/// increase, multiplicative decrease. A noisy neighbour shows first in the
/// agent's own times. Pure; one thread.
class batch_limit
{
public:
    /// `maximum` is at least 1 and the first value.
    batch_limit(std::uint32_t maximum, batch_limit_settings settings);

    /// Changes the upper bound.
    void set_maximum(std::uint32_t maximum);

    /// Takes the time to first token of an online request, in seconds.
    void online_first_token(double seconds, common::time_point now);

    /// Takes the time between two tokens of any work, in seconds.
    void step(double seconds, bool online, common::time_point now);

    /// Limit as of now: 1 to the maximum.
    std::uint32_t current(common::time_point now);

    /// Smoothed times in seconds; 0 without a sample.
    double first_token() const
    {
        return first_token_.smoothed;
    }

    double step_time() const
    {
        return step_.smoothed;
    }

private:
    struct track
    {
        void add(double value, const batch_limit_settings& settings);
        bool slowed(double ratio) const;

        double smoothed = 0;
        double best = 0;
    };

    void adjust(common::time_point now);

    const batch_limit_settings settings_;
    double maximum_;
    double limit_;
    track first_token_;
    track step_;
    std::optional<common::time_point> last_online_;
    common::time_point last_decrease_{};
    common::time_point last_increase_{};
};

} // namespace tanagertrack::agent

#endif
