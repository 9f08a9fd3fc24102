#include "batch/start_turn.hpp"

#include <algorithm>

namespace tanagertrack::batch
{

std::uint32_t start_turn::left_to_others(std::uint32_t free,
                                         std::uint32_t before,
                                         common::time_point now)
{
    // Somebody took a place: the others are at work.
    if (last_free_ == 0 || free < last_free_)
        free_since_ = now;
    last_free_ = free;
    const auto passed =
        static_cast<std::uint32_t>((now - free_since_) / patience);
    return before - std::min(before, passed);
}

} // namespace tanagertrack::batch
