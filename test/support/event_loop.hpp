#ifndef TANAGERTRACK_TEST_SUPPORT_EVENT_LOOP_HPP
#define TANAGERTRACK_TEST_SUPPORT_EVENT_LOOP_HPP

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

namespace tanagertrack::test
{

/// Runs handlers until the condition holds. False: it did not in time; no
/// working part needs the default.
inline bool run_until(boost::asio::io_context& context,
                      const std::function<bool()>& condition,
                      std::chrono::milliseconds time = std::chrono::seconds(20))
{
    const auto deadline = std::chrono::steady_clock::now() + time;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        context.restart();
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

/// Runs handlers for some time.
inline void run_for(boost::asio::io_context& context,
                    std::chrono::milliseconds time)
{
    run_until(
        context, [] { return false; }, time);
}

/// Runs what is ready, and what becomes ready by it.
inline void run_ready(boost::asio::io_context& context)
{
    context.restart();
    while (context.poll() != 0)
        context.restart();
}

} // namespace tanagertrack::test

#endif
