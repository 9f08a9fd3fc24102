#ifndef TANAGERTRACK_TEST_EVENTUALLY_HPP
#define TANAGERTRACK_TEST_EVENTUALLY_HPP

#include <chrono>
#include <thread>

namespace tanagertrack::test
{

/// Evaluates the condition every 10 ms until it holds. Returns false if it
/// doesn't hold within `timeout`.
template<typename Condition>
bool eventually(std::chrono::milliseconds timeout, Condition condition)
{
    constexpr std::chrono::milliseconds interval{10};
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(interval);
    }
    return true;
}

} // namespace tanagertrack::test

#endif
