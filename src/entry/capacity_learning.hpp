#ifndef TANAGERTRACK_ENTRY_CAPACITY_LEARNING_HPP
#define TANAGERTRACK_ENTRY_CAPACITY_LEARNING_HPP

#include "common/periodic_timer.hpp"
#include "routing/capacity_table.hpp"

#include <cstddef>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::common
{
class metrics_registry;
} // namespace tanagertrack::common

namespace tanagertrack::targets
{
class target;
class target_set;
struct ended_attempt;
} // namespace tanagertrack::targets

namespace tanagertrack::entry
{

/// Learns the capacities of targets, and writes them into the targets' loads.
/// Has no effect if it is disabled. Not thread-safe.
class capacity_learning
{
public:
    /// `context`, `metrics` and `targets` must outlive the object. `targets`
    /// is not used before `start`.
    capacity_learning(boost::asio::io_context& context,
                      common::metrics_registry& metrics,
                      targets::target_set& targets, bool enabled);

    capacity_learning(const capacity_learning&) = delete;
    capacity_learning& operator=(const capacity_learning&) = delete;

    /// Starts to compute the capacities periodically.
    void start();

    /// Learns from an attempt that has ended.
    void handle_attempt_end(const targets::target& target,
                            const targets::ended_attempt& attempt);

    /// Learns from a measurement of a target's work.
    void handle_timing(const targets::target& target,
                       const routing::target_timing& timing);

    /// Forgets a target that has departed.
    void remove_target(const targets::target& target);

    /// Returns at most `n` pieces of news for other entries.
    std::vector<routing::capacity_news> take_news(std::size_t n);

    /// Learns from a piece of news of another entry.
    void add_news(const routing::capacity_news& news);

    /// Updates the metrics of the targets' capacities.
    void update_gauges();

private:
    /// Computes the capacities of all targets anew and writes them into the
    /// targets' loads.
    void refresh();
    void log_change(const routing::capacity_change& change) const;
    void update_gauges_of(const targets::target& target);

    common::metrics_registry& metrics_;
    targets::target_set& targets_;
    bool enabled_;
    routing::capacity_table capacities_;
    common::periodic_timer timer_;
};

} // namespace tanagertrack::entry

#endif
