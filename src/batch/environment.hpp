#ifndef TANAGERTRACK_BATCH_ENVIRONMENT_HPP
#define TANAGERTRACK_BATCH_ENVIRONMENT_HPP

#include "fleet/configuration.hpp"
#include "routing/placement.hpp"
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

/// Which items get the free places.
enum class batch_order : std::uint8_t
{
    /// The most urgent of all entries; those that can't be in time come last.
    urgency,

    /// Baseline: those of all entries that are due first, also when they can't
    /// be in time any more.
    due,

    /// Baseline: each entry in its turn, its items by due time.
    by_entry
};

/// Order of a setting's value; `urgency` for an unknown one.
batch_order parse_batch_order(std::string_view name);

/// How often progress is recorded.
struct progress_settings
{
    /// Shortest time between two appends of a process; zero: never.
    std::chrono::milliseconds interval{500};

    /// Run time of an item that a lost process may cost.
    std::chrono::milliseconds max_unrecorded_run{1000};

    /// Growth of a text since it was last recorded, in parts of it: each
    /// record holds the whole text, and all of them together stay below a
    /// multiple of it.
    double min_growth = 0.25;
};

/// Times and bounds of batch work.
struct batch_settings
{
    batch_order order = batch_order::urgency;

    /// Places of each target that batch work leaves free.
    std::uint32_t reserve = 0;

    /// Time without an event after which an item goes on elsewhere, and time
    /// without a byte of a whole answer.
    std::chrono::milliseconds event_timeout{1500};
    std::chrono::milliseconds answer_timeout{120000};

    /// Failures after which an item is given up whose route states none.
    std::uint32_t max_failures = 3;

    /// Time between looks for items to start and for silent targets.
    std::chrono::milliseconds check_interval{50};

    /// Text of an item; one that grows beyond it can't be recorded, and is
    /// given up.
    std::size_t max_text_bytes = 255UL * 1024;

    /// Ends of items that wait for the store, and their bytes; above, no item
    /// is started.
    std::size_t max_unrecorded = 4096;
    std::size_t max_unrecorded_bytes = 16UL * 1024 * 1024;

    /// Time for which an end waits for others to share an append.
    std::chrono::milliseconds record_interval{100};

    /// Recording of what running items have reached.
    progress_settings progress;

    /// Time without a route after which a job's items are given up: the
    /// operator removed it.
    std::chrono::milliseconds missing_route_timeout{3000};

    /// Due time of jobs whose route states none.
    std::chrono::milliseconds default_due{std::chrono::hours(24)};
};

/// What a target's answer to an item means, if it is not a success.
enum class failure_kind : std::uint8_t
{
    /// The item can never be done.
    permanent,

    /// Counts: after some of these the item is given up.
    counted,

    /// Says nothing of the item.
    transient
};

/// What runs batch items. One thread.
struct environment
{
    boost::asio::io_context& context;
    const batch_settings& settings;
    const targets::target_protocol& protocol;
    targets::target_set& targets;
    routing::placement& placement;

    /// Configuration in effect; null before the first.
    std::function<fleet::configuration_ptr()> configuration;

    /// Meaning of a status other than 2xx.
    std::function<failure_kind(unsigned)> classify_failure;

    /// Items on a target that other entries take back before this one does.
    std::function<std::uint32_t(const targets::target&)> preempted_by_peers;

    /// Waiting items of other entries that get a place of a service before an
    /// item of this one does.
    std::function<std::uint32_t(const std::string&,
                                const routing::urgency_key&)>
        peer_items_ahead;
};

} // namespace tanagertrack::batch

#endif
