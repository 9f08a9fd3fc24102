#include "routing/retry_budget.hpp"

#include <algorithm>

namespace tanagertrack::routing
{

retry_budget::retry_budget(retry_budget_settings settings)
    : settings_(settings), tokens_(settings.ratio > 0 ? settings.burst : 0)
{
}

void retry_budget::record_request()
{
    tokens_ = std::min(settings_.burst, tokens_ + settings_.ratio);
}

bool retry_budget::try_acquire()
{
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace tanagertrack::routing
