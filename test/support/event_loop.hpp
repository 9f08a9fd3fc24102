#ifndef TANAGERTRACK_TEST_SUPPORT_EVENT_LOOP_HPP
#define TANAGERTRACK_TEST_SUPPORT_EVENT_LOOP_HPP

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

namespace tanagertrack::test
{

/// Runs handlers until the condition holds. False: it did not in 20 s, which
/// no working part needs.
inline bool run_until(boost::asio::io_context& context,
                      const std::function<bool()>& condition)
{
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        context.restart();
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
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
