#include "routing/target_health.hpp"

#include <algorithm>

namespace tanagertrack::routing
{

namespace
{

/// Returns the length of a pause that follows `earlier_pauses` consecutive
/// ones.
std::chrono::milliseconds pause_length(std::uint32_t earlier_pauses,
                                       const health_settings& settings)
{
    auto pause = settings.first_pause;
    for (auto n = earlier_pauses; n != 0 && pause < settings.max_pause; --n)
        pause *= 2;
    return std::min(pause, settings.max_pause);
}

} // namespace

const char* to_string(target_failure failure)
{
    switch (failure)
    {
    case target_failure::unreachable:
        return "unreachable";
    case target_failure::replaced:
        return "replaced";
    case target_failure::unanswered:
        return "unanswered";
    }
    return "unknown";
}

bool target_health::record_failure(target_failure reason,
                                   common::time_point now,
                                   const health_settings& settings)
{
    if (is_avoided(now))
        return false;
    if (reason == target_failure::unanswered &&
        ++unanswered_ <= settings.tolerated_unanswered)
        return false;
    const auto pause = reason == target_failure::replaced
                           ? settings.replaced_pause
                           : pause_length(pauses_, settings);
    ++pauses_;
    avoided_until_ = now + pause;
    return true;
}

void target_health::record_success()
{
    unanswered_ = 0;
    pauses_ = 0;
    avoided_until_ = {};
}

} // namespace tanagertrack::routing
