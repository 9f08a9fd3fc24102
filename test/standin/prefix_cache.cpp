#include "standin/prefix_cache.hpp"

#include "common/hash.hpp"

namespace tanagertrack::standin
{

prefix_cache::prefix_cache(std::size_t max_blocks, std::uint64_t gap)
    : max_blocks_(max_blocks), gap_(gap)
{
}

std::size_t prefix_cache::use(std::string_view prompt)
{
    std::size_t cached = 0;
    bool prefix = true;
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at + block_bytes <= prompt.size();
         at += block_bytes)
    {
        hash = common::hash64(prompt.substr(at, block_bytes), hash);
        const auto it = blocks_.find(hash);
        if (it != blocks_.end())
        {
            if (prefix)
                cached = at + block_bytes;
            recent_.splice(recent_.begin(), recent_, it->second);
            continue;
        }
        prefix = false;
        recent_.push_front(hash);
        blocks_[hash] = recent_.begin();
        publish(true, hash);
        if (blocks_.size() > max_blocks_)
        {
            publish(false, recent_.back());
            blocks_.erase(recent_.back());
            recent_.pop_back();
        }
    }
    return cached;
}

std::vector<cache_event>
prefix_cache::events(std::uint64_t from,
                     std::chrono::steady_clock::time_point newest) const
{
    std::vector<cache_event> out;
    for (const auto& it : events_)
        if (it.number >= from && it.time <= newest)
            out.push_back(it);
    return out;
}

void prefix_cache::publish(bool stored, std::uint64_t block)
{
    const auto number = next_event_++;
    if (gap_ != 0 && number % gap_ == 0)
        return;
    events_.push_back(
        {number, stored, block, std::chrono::steady_clock::now()});
    if (events_.size() > max_events)
        events_.pop_front();
}

} // namespace tanagertrack::standin
