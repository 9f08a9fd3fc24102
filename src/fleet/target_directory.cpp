#include "fleet/target_directory.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::fleet
{

std::string_view to_string(departure value)
{
    switch (value)
    {
    case departure::leaving:
        return "leaving";
    case departure::removed:
        return "removed";
    case departure::lapsed:
        return "lapsed";
    case departure::replaced:
        return "replaced";
    }
    return "unknown";
}

target_directory::target_directory(hooks told) : told_(std::move(told))
{
}

void target_directory::announce(const std::string& key,
                                const std::optional<target_announcement>& value)
{
    auto& it = entries_[key];
    if (!value)
        return depart(key, it, departure::replaced);
    if (!value->is_newer_than(it.last))
    {
        // An entry that lapsed and is written again as it was.
        const bool same = !it.last.is_newer_than(*value);
        if (!same || !it.lapsed)
            return;
    }
    it.last = *value;
    it.lapsed = false;
    if (value->leaving)
        return depart(key, it, departure::leaving);
    it.in_use = true;
    told_.on_available(key, it.last);
}

void target_directory::remove(const std::string& key, common::time_point now)
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || !found->second.in_use)
        return;
    if (store_away_ || within_grace(now))
        found->second.lapsed = true;
    else
        depart(key, found->second, departure::removed);
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
    if (reachable && store_away_)
        returned_ = now;
    store_away_ = !reachable;
}

void target_directory::expire(common::time_point now)
{
    if (store_away_ || within_grace(now))
        return;
    for (auto& [key, it] : entries_)
    {
        if (it.in_use && it.lapsed)
            depart(key, it, departure::lapsed);
    }
}

void target_directory::depart(const std::string& key, entry& it, departure why)
{
    it.lapsed = false;
    if (std::exchange(it.in_use, false))
        told_.on_departed(key, why);
}

bool target_directory::within_grace(common::time_point now) const
{
    return returned_ && now < *returned_ + lapse_grace;
}

std::size_t target_directory::size() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        entries_, [](const auto& it) { return it.second.in_use; }));
}

} // namespace tanagertrack::fleet
