#ifndef TANAGERTRACK_TEST_SUPPORT_EVENT_LOOP_HPP
#define TANAGERTRACK_TEST_SUPPORT_EVENT_LOOP_HPP

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

namespace tanagertrack::test
{

/// Runs handlers until the condition holds. Returns false if it doesn't hold
/// within `timeout`. The default is longer than correct code ever needs, so
/// that only a failing test waits for its end.
inline bool
run_until(boost::asio::io_context& context,
          const std::function<bool()>& condition,
          std::chrono::milliseconds timeout = std::chrono::seconds(20))
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        context.restart();
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

/// Runs handlers for the given duration.
inline void run_for(boost::asio::io_context& context,
                    std::chrono::milliseconds duration)
{
    run_until(
        context, [] { return false; }, duration);
}

/// Runs all handlers that are ready, including those that become ready
/// meanwhile, without waiting.
inline void run_ready(boost::asio::io_context& context)
{
    context.restart();
    while (context.poll() != 0)
        context.restart();
}

} // namespace tanagertrack::test

#endif
