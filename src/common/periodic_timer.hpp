#ifndef TANAGERTRACK_COMMON_PERIODIC_TIMER_HPP
#define TANAGERTRACK_COMMON_PERIODIC_TIMER_HPP

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace tanagertrack::common
{

/// Calls a handler again and again until the object is destroyed. Not
/// thread-safe: all calls are made on the thread of the io_context.
class periodic_timer
{
public:
    /// `interval` is the time from the end of one call, or from `start`, to the
    /// next call. `on_expired` must not destroy the object.
    periodic_timer(boost::asio::io_context& context,
                   std::chrono::milliseconds interval,
                   std::function<void()> on_expired);

    periodic_timer(const periodic_timer&) = delete;
    periodic_timer& operator=(const periodic_timer&) = delete;

    /// Starts the calls; the first one is made after the interval.
    void start();

private:
    std::chrono::milliseconds interval_;
    std::function<void()> on_expired_;
    boost::asio::steady_timer timer_;

    /// Expires with the object. A handler that is queued already can't be
    /// cancelled any more, and must not use the destroyed object.
    std::shared_ptr<const bool> lifetime_ = std::make_shared<bool>(true);
};

} // namespace tanagertrack::common

#endif
