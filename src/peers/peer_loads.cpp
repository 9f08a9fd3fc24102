#include "peers/peer_loads.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tanagertrack::peers
{

std::uint32_t service_key(std::string_view service)
{
    return static_cast<std::uint32_t>(common::hash64(service));
}

bool peer_loads::apply_message(const peers::LoadMessage& message,
                               common::time_point now)
{
    auto& it = members_[message.member()];
    if (message.sequence() <= it.sequence)
        return false;
    it.sequence = message.sequence();
    it.last_message_at = now;
    it.waiting.clear();
    for (const auto& group : message.waiting())
        it.waiting.push_back(
            {group.service(),
             {group.late(), now + std::chrono::milliseconds(group.slack_ms())},
             group.count()});
    it.store_contact = now - std::chrono::milliseconds(message.store_age_ms());
    remove_uses(it);
    for (const auto& use : message.uses())
    {
        const target_use value{use.online(), use.batch()};

        // If a message names a target twice, only the first entry counts.
        const bool is_used = value.online != 0 || value.batch != 0;
        if (!is_used || !it.uses.try_emplace(use.target(), value).second)
            continue;
        auto& total = totals_[use.target()];
        total.online += use.online();
        total.batch += use.batch();
    }
    return true;
}

void peer_loads::remove_uses(member_state& state)
{
    for (const auto& [target, use] : state.uses)
    {
        auto& total = totals_[target];
        total.online -= use.online;
        total.batch -= use.batch;
        if (total.online == 0 && total.batch == 0)
            totals_.erase(target);
    }
    state.uses.clear();
}

std::vector<std::uint32_t>
peer_loads::find_new_losses(const LoadMessage& message)
{
    std::vector<std::uint32_t> targets;
    const auto sender = members_.find(message.member());
    if (sender == members_.end())
        return targets;
    for (const auto& it : message.losses())
    {
        auto& known = sender->second.losses[it.target()];
        if (std::exchange(known, it.count()) != it.count())
            targets.push_back(it.target());
    }
    return targets;
}

bool peer_loads::expire(common::time_point now)
{
    const auto old_size = members_.size();
    for (auto it = members_.begin(); it != members_.end();)
    {
        const bool silent = now - it->second.last_message_at > lifetime;
        if (silent)
            remove_uses(it->second);
        it = silent ? members_.erase(it) : std::next(it);
    }
    return members_.size() != old_size;
}

void peer_loads::remove(std::string_view member)
{
    const auto it = members_.find(member);
    if (it == members_.end())
        return;
    remove_uses(it->second);
    members_.erase(it);
}

target_use peer_loads::use_of(std::uint32_t target) const
{
    const auto it = totals_.find(target);
    return it == totals_.end() ? target_use() : it->second;
}

std::uint64_t peer_loads::rank(std::uint32_t key, std::string_view member)
{
    return common::hash64(member, key);
}

std::uint32_t peer_loads::items_preempted_first(std::uint32_t target,
                                                std::string_view self) const
{
    const auto own_rank = rank(target, self);
    std::uint32_t sum = 0;
    for (const auto& [member, it] : members_)
    {
        const auto use = it.uses.find(target);
        if (use != it.uses.end() && rank(target, member) < own_rank)
            sum += use->second.batch;
    }
    return sum;
}

std::uint32_t peer_loads::items_ahead(std::string_view service,
                                      const routing::urgency_key& urgency,
                                      std::string_view self) const
{
    const auto key = service_key(service);
    std::uint32_t sum = 0;
    for (const auto& [member, it] : members_)
    {
        for (const auto& group : it.waiting)
        {
            const bool is_ahead = group.urgency < urgency ||
                                  (group.urgency == urgency && member < self);
            if (is_ahead && group.service == key)
                sum += group.count;
        }
    }
    return sum;
}

std::uint32_t peer_loads::entries_ahead(std::string_view service,
                                        std::string_view self) const
{
    const auto key = service_key(service);
    const auto own_rank = rank(key, self);
    return static_cast<std::uint32_t>(std::ranges::count_if(
        members_,
        [&](const auto& it)
        {
            const bool waits =
                std::ranges::any_of(it.second.waiting, [key](const auto& group)
                                    { return group.service == key; });
            return waits && rank(key, it.first) < own_rank;
        }));
}

std::optional<common::time_point>
peer_loads::store_contact(std::string_view member) const
{
    const auto it = members_.find(member);
    if (it == members_.end())
        return std::nullopt;
    return it->second.store_contact;
}

std::optional<common::time_point> peer_loads::last_store_contact() const
{
    std::optional<common::time_point> latest;
    for (const auto& [member, it] : members_)
        latest = std::max(latest.value_or(it.store_contact), it.store_contact);
    return latest;
}

} // namespace tanagertrack::peers
