#include "fleet/target_directory.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::fleet
{

std::string_view to_string(departure_reason value)
{
    switch (value)
    {
    case departure_reason::leaving:
        return "leaving";
    case departure_reason::removed:
        return "removed";
    case departure_reason::lapsed:
        return "lapsed";
    case departure_reason::replaced:
        return "replaced";
    }
    return "unknown";
}

target_directory::target_directory(hooks listeners)
    : hooks_(std::move(listeners))
{
}

void target_directory::announce(const std::string& key,
                                const std::optional<target_announcement>& value)
{
    auto& it = entries_[key];
    if (!value)
        return mark_departed(key, it, departure_reason::replaced);
    if (!value->is_newer_than(it.last))
    {
        // Accept an unchanged announcement only if its key had lapsed: the
        // target has written it again.
        const bool same = !it.last.is_newer_than(*value);
        if (!same || !it.lapsed)
            return;
    }
    if (value->started_ms != it.last.started_ms)
        it.said_leaving = false;
    it.last = *value;
    it.lapsed = false;
    if (value->leaving || it.said_leaving)
        return mark_departed(key, it, departure_reason::leaving);
    it.in_use = true;
    hooks_.on_available(key, it.last);
}

void target_directory::report_leaving(const std::string& key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return;
    found->second.said_leaving = true;
    mark_departed(key, found->second, departure_reason::leaving);
}

void target_directory::remove(const std::string& key, common::time_point now)
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || !found->second.in_use)
        return;
    if (store_unreachable_ || is_within_grace(now))
        found->second.lapsed = true;
    else
        mark_departed(key, found->second, departure_reason::removed);
}

void target_directory::retain(
    const std::function<bool(const std::string&)>& exists,
    common::time_point now)
{
    for (const auto& [key, it] : entries_)
    {
        if (it.in_use && !exists(key))
            remove(key, now);
    }
}

void target_directory::set_store_reachable(bool reachable,
                                           common::time_point now)
{
    if (reachable && store_unreachable_)
        outage_ended_ = now;
    store_unreachable_ = !reachable;
}

void target_directory::expire(common::time_point now)
{
    if (store_unreachable_ || is_within_grace(now))
        return;
    for (auto& [key, it] : entries_)
    {
        if (it.in_use && it.lapsed)
            mark_departed(key, it, departure_reason::lapsed);
    }
}

void target_directory::mark_departed(const std::string& key, entry& target,
                                     departure_reason reason)
{
    target.lapsed = false;
    if (std::exchange(target.in_use, false))
        hooks_.on_departed(key, reason);
}

bool target_directory::is_within_grace(common::time_point now) const
{
    return outage_ended_ && now < *outage_ended_ + lapse_grace;
}

std::size_t target_directory::size() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        entries_, [](const auto& it) { return it.second.in_use; }));
}

} // namespace tanagertrack::fleet
