#ifndef TANAGERTRACK_STANDIN_NOTIFIER_HPP
#define TANAGERTRACK_STANDIN_NOTIFIER_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace tanagertrack::standin
{

/// Condition variable for coroutines. A notification without a waiter is lost,
/// so a coroutine has to check its condition before it waits. Not thread-safe:
/// all calls are made on the thread of the io_context.
class notifier
{
public:
    explicit notifier(const boost::asio::any_io_executor& executor)
        : timer_(executor, boost::asio::steady_timer::time_point::max())
    {
    }

    /// Resumes all coroutines that wait.
    void notify()
    {
        timer_.cancel();
    }

    /// Waits for the next call of notify().
    boost::asio::awaitable<void> wait()
    {
        boost::system::error_code ec;
        co_await timer_.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }

private:
    boost::asio::steady_timer timer_;
};

/// Suspends the calling coroutine for `duration`.
inline boost::asio::awaitable<void> pause(std::chrono::microseconds duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace tanagertrack::standin

#endif
