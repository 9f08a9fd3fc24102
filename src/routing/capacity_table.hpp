#ifndef TANAGERTRACK_ROUTING_CAPACITY_TABLE_HPP
#define TANAGERTRACK_ROUTING_CAPACITY_TABLE_HPP

#include "routing/service_curve.hpp"
#include "routing/target_capacity.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tanagertrack::routing
{

/// Kinds of measurements, which are compared only with others of their kind.
enum class timing_kind : std::uint8_t
{
    /// Time between two events of a stream.
    event,

    /// Duration of an online call whose answer is not a stream.
    online_call,

    /// The same, of a batch item.
    batch_call
};

/// A measurement of a target's work.
struct target_timing
{
    timing_kind kind = timing_kind::event;

    /// Begin and end of the measurement.
    common::time_point begin;
    common::time_point end;

    /// Number of units of work, such as events, within this time.
    double units = 1;

    /// Requests that the target ran meanwhile, as far as known.
    double running = 1;

    /// Momentary slowdown that the target reported at the beginning; 0 if it
    /// did not.
    double slowdown = 0;
};

/// Evidence on a target, or an opinion (estimate), as sent to other entries.
struct capacity_news
{
    std::uint32_t target = 0;

    /// Time relative to the median target of the service.
    double relative_time = 1;

    /// Number of measurements; 0 for an opinion, which is not evidence.
    std::uint32_t weight = 0;

    /// Requests that the target ran meanwhile; 0 for an opinion.
    std::uint32_t running = 0;

    /// Knee, 0 if unknown.
    std::uint32_t knee = 0;
    std::chrono::milliseconds age{0};
};

/// A lasting change of a target's relative time.
struct capacity_change
{
    std::uint32_t target = 0;
    double before = 1;
    double after = 1;

    /// Standard error of the relative time, and the periods that support it.
    double error = 0;
    std::size_t periods = 0;
    std::uint32_t knee = 0;
};

/// Estimates the capacities of all targets of an entry, each relative to the
/// others of its service. Has no clock of its own and keeps no references to
/// targets. Not thread-safe.
///
/// `refresh` is called several times per second; estimates are computed there,
/// so that a measurement costs little.
class capacity_table
{
public:
    /// Adds a target as unknown. Does nothing if it is known with the same
    /// start. A target with another start is a restarted one and is unknown.
    void add_target(std::uint32_t target, std::string_view service,
                    std::uint32_t slots, std::uint64_t started_ms);

    /// Removes a target. Does nothing for an unknown one.
    void remove_target(std::uint32_t target);

    /// Adds a measurement of this entry. It is dropped if this entry itself did
    /// not run for a part of the time.
    void add_timing(std::uint32_t target, const target_timing& timing);

    /// Records that a target refused a request; `requests` is the number that
    /// it runs and has waiting. The other targets of the service are expected
    /// to have as long a queue.
    void add_refusal(std::uint32_t target, std::uint32_t requests,
                     common::time_point now);

    /// Adds what another entry has sent.
    void add_news(const capacity_news& news, common::time_point now);

    /// Computes all estimates anew. Calls `on_change` for each lasting change.
    void refresh(common::time_point now,
                 const std::function<void(const capacity_change&)>& on_change);

    /// Returns the estimate of the last refresh.
    capacity_estimate estimate_of(std::uint32_t target) const;

    /// Returns at most `n` pieces of news for other entries: unsent evidence,
    /// then opinions on targets in turn. Evidence is returned only once.
    std::vector<capacity_news> take_news(std::size_t n, common::time_point now);

private:
    /// Evidence of this entry that was not sent yet.
    struct unsent_evidence
    {
        double weight = 0;
        double log_time = 0;
        double running = 0;
        common::time_point last;
    };

    struct service_state
    {
        std::array<service_curve, 3> curves;

        /// Relative time of the median target, as a logarithm.
        double median = 0;
        std::vector<double> values;

        /// Queue of the service's targets beyond their slots, from the last
        /// refusal.
        std::uint32_t queue = 0;
        common::time_point refused_at;
    };

    struct target_state
    {
        target_state(service_state& service_of, std::uint32_t slots_of,
                     std::uint64_t started)
            : service(&service_of), slots(slots_of), started_ms(started),
              capacity(slots_of)
        {
        }

        service_state* service;
        std::uint32_t slots;
        std::uint64_t started_ms;
        target_capacity capacity;
        target_capacity::speed speed;
        capacity_estimate estimate;
        unsent_evidence unsent;

        /// Relative time of the last reported change, and the time since which
        /// the estimate differs from it.
        double reported = 1;
        std::optional<common::time_point> differs_since;
    };

    /// Detects from `now` a time in which this entry did not run.
    void note_stall(common::time_point now);
    void update_estimate(target_state& it, common::time_point now) const;
    static std::optional<capacity_change>
    find_change(std::uint32_t key, target_state& it, common::time_point now);

    std::map<std::string, service_state, std::less<>> services_;
    std::unordered_map<std::uint32_t, target_state> targets_;

    /// Targets with unsent evidence, the oldest first.
    std::deque<std::uint32_t> changed_;

    /// Targets on which opinions are sent in turn, and the index of the last.
    std::vector<std::uint32_t> opinion_order_;
    std::size_t last_in_order_ = 0;
    common::time_point last_opinion_;

    std::optional<common::time_point> last_refresh_;

    /// Measurements that began earlier contain a time in which this entry did
    /// not run.
    common::time_point stalled_until_;
};

} // namespace tanagertrack::routing

#endif
