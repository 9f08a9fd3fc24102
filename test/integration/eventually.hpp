#ifndef TANAGERTRACK_TEST_EVENTUALLY_HPP
#define TANAGERTRACK_TEST_EVENTUALLY_HPP

#include <chrono>
#include <thread>

namespace tanagertrack::test
{

/// Waits until the condition holds; false when it does not in time.
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
