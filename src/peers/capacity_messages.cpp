#include "peers/capacity_messages.hpp"

#include "proto/peers.pb.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace tanagertrack::peers
{

namespace
{

constexpr double permille = 1000.0;

/// Upper bound of the size of one estimate in a message, in bytes.
constexpr std::size_t estimate_bytes = 20;

/// Estimates take this share of a message, but one is always sent. The number
/// is bounded so that a long message is not followed by a burst of work.
constexpr std::size_t message_share = 5;
constexpr std::size_t max_estimates = 8;

} // namespace

void add_capacity_news(
    LoadMessage& message,
    const std::function<std::vector<routing::capacity_news>(std::size_t)>& take)
{
    const auto n = std::clamp<std::size_t>(message.ByteSizeLong() /
                                               (message_share * estimate_bytes),
                                           1, max_estimates);
    for (const auto& it : take(n))
    {
        auto& out = *message.add_estimates();
        out.set_target(it.target);
        out.set_time_permille(static_cast<std::uint32_t>(
            std::lround(it.relative_time * permille)));
        out.set_knee(it.knee);
        out.set_weight(it.weight);
        out.set_running(it.running);
        out.set_age_ms(static_cast<std::uint32_t>(it.age.count()));
    }
}

void read_capacity_news(
    const LoadMessage& message,
    const std::function<void(const routing::capacity_news&)>& apply)
{
    for (const auto& it : message.estimates())
        apply({it.target(), it.time_permille() / permille, it.weight(),
               it.running(), it.knee(),
               std::chrono::milliseconds(it.age_ms())});
}

} // namespace tanagertrack::peers
