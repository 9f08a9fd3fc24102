#ifndef TANAGERTRACK_COMMON_TIMER_WAIT_HPP
#define TANAGERTRACK_COMMON_TIMER_WAIT_HPP

#include "common/clock.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

#include <functional>

namespace tanagertrack::common
{

/// Handler of a wait; its argument is an error if the wait was cancelled.
using wait_handler = std::function<void(const boost::system::error_code&)>;

/// Calls `handler` on the executor of `timer` when `deadline` is reached, and
/// cancels an earlier wait of the timer. If `common::clock` says that the
/// deadline has passed, the handler is posted at once and can't be cancelled
/// any more: when the operating system would report the timer is then
/// irrelevant, so that a test with its own clock runs its handlers in a fixed
/// order.
void wait_until(boost::asio::steady_timer& timer, time_point deadline,
                wait_handler handler);

} // namespace tanagertrack::common

#endif
