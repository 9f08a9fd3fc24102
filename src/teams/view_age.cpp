#include "teams/view_age.hpp"

#include <algorithm>

namespace tanagertrack::teams
{

using std::chrono::milliseconds;

namespace
{

/// Share of the bound up to which new callers are accepted.
constexpr double new_callers_share = 0.6;

/// Age up to which an unknown key is refused for good. Above the age that a
/// view reaches while the store is reachable.
constexpr auto max_age_for_unknown_keys = milliseconds(2500);

} // namespace

view_age::view_age(milliseconds bound) : bound_(bound)
{
}

void view_age::confirm(time_point read_start)
{
    confirmed_ = std::max(read_start, confirmed_.value_or(read_start));
}

std::optional<milliseconds> view_age::get(time_point now) const
{
    if (!confirmed_)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(now - *confirmed_);
}

bool view_age::permits_keys(time_point now) const
{
    const auto age = get(now);
    return bound_.count() == 0 || (age && *age < bound_);
}

bool view_age::permits_new_callers(time_point now) const
{
    const auto age = get(now);
    return bound_.count() == 0 || (age && *age < bound_ * new_callers_share);
}

bool view_age::excludes_unread_keys(time_point now) const
{
    const auto age = get(now);
    return age && *age < max_age_for_unknown_keys;
}

} // namespace tanagertrack::teams
