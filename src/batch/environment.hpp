#ifndef TANAGERTRACK_BATCH_ENVIRONMENT_HPP
#define TANAGERTRACK_BATCH_ENVIRONMENT_HPP

#include "fleet/configuration.hpp"
#include "routing/placement.hpp"
#include "routing/prompt.hpp"
#include "routing/urgency.hpp"
#include "targets/protocol.hpp"
#include "targets/target_set.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::batch
{

/// Order in which items get free slots.
enum class batch_order : std::uint8_t
{
    /// By urgency over all entries; items that can't finish in time come last.
    urgency,

    /// Baseline for comparisons: by due time over all entries, including items
    /// that can't finish in time any more.
    due,

    /// Baseline for comparisons: the entries take turns, and each one starts
    /// its items by due time.
    by_entry
};

/// Returns the order with this name in the settings; `urgency` for an unknown
/// name.
batch_order parse_batch_order(std::string_view name);

/// Limits of how often progress is recorded.
struct progress_settings
{
    /// Minimum time between two appends of a process; zero disables recording.
    std::chrono::milliseconds interval{500};

    /// Run time of an item since its last record after which it is recorded
    /// again. If the process is lost, an item loses about this run time, or
    /// more if its text has grown by less than `min_growth`.
    std::chrono::milliseconds max_unrecorded_run{1000};

    /// Minimum growth of an item's text since its last record, as a fraction of
    /// the recorded text. Each record holds the whole text; the growth bounds
    /// the size of all records to a multiple of the final text.
    double min_growth = 0.25;
};

/// Timeouts and limits of batch work.
struct batch_settings
{
    batch_order order = batch_order::urgency;

    /// Slots of each target that batch work leaves free.
    std::uint32_t reserve = 0;

    /// Time without an event after which an item is stopped and retried on
    /// another target, and time without a byte for an item whose response is
    /// not a stream.
    std::chrono::milliseconds event_timeout{1500};
    std::chrono::milliseconds answer_timeout{120000};

    /// Counted failures after which an item fails for good, if its job has no
    /// known route; otherwise the number is that of the route.
    std::uint32_t max_failures = 3;

    /// Interval of the checks that start items and find silent targets.
    std::chrono::milliseconds check_interval{50};

    /// Maximum text of an item in bytes; a larger one can't be recorded. See
    /// `decide_after_large_text`.
    std::size_t max_text_bytes = 255UL * 1024;

    /// Finished items that are not recorded yet, and the bytes of their texts;
    /// at either limit no item is started.
    std::size_t max_unrecorded = 4096;
    std::size_t max_unrecorded_bytes = 16UL * 1024 * 1024;

    /// Time for which a finished item waits for others to share an append.
    std::chrono::milliseconds record_interval{100};

    /// Recording of the progress of running items.
    progress_settings progress;

    /// Time without a route after which the items of a job fail: the operator
    /// removed the route.
    std::chrono::milliseconds missing_route_timeout{3000};

    /// Time until a job is due, if its route states none.
    std::chrono::milliseconds default_due{std::chrono::hours(24)};
};

/// Effect of an unsuccessful response of a target on the item.
enum class failure_kind : std::uint8_t
{
    /// The item can never succeed; it fails at once.
    permanent,

    /// Counted: after a maximum number of these the item fails.
    counted,

    /// The failure is not caused by the item. It is not counted, and the item
    /// is retried.
    transient
};

/// Objects and callbacks of the process that batch work uses. All are used on
/// the thread of the io_context only.
struct environment
{
    boost::asio::io_context& context;
    const batch_settings& settings;
    const targets::target_protocol& protocol;
    targets::target_set& targets;
    routing::placement& placement;

    /// Returns the configuration in effect; null before the first one.
    std::function<fleet::configuration_ptr()> configuration;

    /// Returns the effect of an HTTP status other than 2xx.
    std::function<failure_kind(unsigned)> classify_failure;

    /// Returns the number of items on a target that other entries preempt
    /// before this one preempts its own.
    std::function<std::uint32_t(const targets::target&)> preempted_by_peers;

    /// Returns the number of waiting items of other entries that get a slot of
    /// a service before an item of this entry with the given urgency. With
    /// `batch_order::by_entry` it is the number of entries that are ahead of
    /// this one.
    std::function<std::uint32_t(const std::string&,
                                const routing::urgency_key&)>
        peer_items_ahead;

    /// Called before each send of an item.
    routing::prompt_refusal time_refused = routing::refuse_none;
};

} // namespace tanagertrack::batch

#endif
