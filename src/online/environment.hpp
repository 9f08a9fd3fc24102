#ifndef TANAGERTRACK_ONLINE_ENVIRONMENT_HPP
#define TANAGERTRACK_ONLINE_ENVIRONMENT_HPP

#include "routing/placement.hpp"
#include "targets/protocol.hpp"
#include "targets/target_set.hpp"

#include <chrono>
#include <cstddef>
#include <functional>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::common
{
class metrics_registry;
} // namespace tanagertrack::common

namespace tanagertrack::online
{

/// Times and bounds of online requests.
struct online_settings
{
    /// Time without a first event after which a stream that may be resumed is
    /// tried elsewhere.
    std::chrono::milliseconds first_event_timeout{700};

    /// Share of the route's longest pause between events after which a stream
    /// is continued elsewhere. The rest is for the new target to get going.
    double gap_timeout_share = 0.6;

    /// Pause after which a stream is continued on a route that states none.
    std::chrono::milliseconds default_gap{2000};

    /// Whole answers up to this size are held until they are complete, so
    /// that a cut one can be asked for again.
    std::size_t held_answer_bytes = 64UL * 1024;

    /// Bytes of an answer that wait for the caller; above, the target waits.
    std::size_t max_unsent_bytes = 256UL * 1024;

    /// Sends of a request beyond those that may have run it.
    std::uint32_t max_refused_sends = 2;

    /// Estimated wait, in parts of the route's objective, above which a
    /// request is refused rather than sent.
    double max_wait = 1.0;

    /// Time after which a refused caller is asked to come back, and the range
    /// over which returns are spread.
    std::chrono::milliseconds retry_after{300};
    std::chrono::milliseconds retry_after_spread{400};
};

/// What the online requests of a process share. One thread.
struct environment
{
    boost::asio::io_context& context;
    const online_settings& settings;
    const targets::target_protocol& protocol;
    targets::target_set& targets;
    routing::placement& placement;
    routing::random_below random;

    /// Asked to free a place of a target for an online request that is about
    /// to be sent there.
    std::function<void(targets::target&)> preempt_for_online;
};

} // namespace tanagertrack::online

#endif
