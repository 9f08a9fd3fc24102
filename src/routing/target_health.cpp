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

/// Returns true if `event`, which may be the clock's epoch for none, was less
/// than `span` before `now`.
bool is_recent(common::time_point event, common::time_point now,
               std::chrono::milliseconds span)
{
    return event != common::time_point() && now - event < span;
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
    if (reason == target_failure::unanswered)
    {
        last_own_loss_ = now;
        const bool is_confirmed =
            is_recent(last_peer_loss_, now, settings.shared_window);
        if (++unanswered_ <= settings.tolerated_unanswered && !is_confirmed)
            return false;
    }
    begin_pause(reason, now, settings);
    return true;
}

bool target_health::record_peer_loss(common::time_point now,
                                     const health_settings& settings)
{
    const bool is_confirmed =
        is_recent(last_peer_loss_, now, settings.shared_window) ||
        is_recent(last_own_loss_, now, settings.shared_window);
    last_peer_loss_ = now;
    if (is_avoided(now) || !is_confirmed)
        return false;
    begin_pause(target_failure::unanswered, now, settings);
    return true;
}

void target_health::begin_pause(target_failure reason, common::time_point now,
                                const health_settings& settings)
{
    const auto pause = reason == target_failure::replaced
                           ? settings.replaced_pause
                           : pause_length(pauses_, settings);
    ++pauses_;
    avoided_until_ = now + pause;
    distrust_ = is_recent(last_pause_, now, settings.distrust_memory)
                    ? std::min(distrust_ * 2, settings.max_distrust)
                    : settings.first_distrust;
    last_pause_ = now;
    distrusted_until_ = avoided_until_ + distrust_;
}

void target_health::record_success()
{
    unanswered_ = 0;
    pauses_ = 0;
    avoided_until_ = {};
}

} // namespace tanagertrack::routing
