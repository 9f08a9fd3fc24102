#include "standin/prefix_cache.hpp"

#include "common/hash.hpp"

namespace tanagertrack::standin
{

prefix_cache::prefix_cache(std::size_t max_blocks) : max_blocks_(max_blocks)
{
}

std::size_t prefix_cache::match_and_insert(std::string_view prompt)
{
    std::size_t cached = 0;
    bool in_prefix = true;
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at + block_bytes <= prompt.size();
         at += block_bytes)
    {
        hash = common::hash64(prompt.substr(at, block_bytes), hash);
        const auto it = blocks_.find(hash);
        if (it != blocks_.end())
        {
            if (in_prefix)
                cached = at + block_bytes;
            recent_.splice(recent_.begin(), recent_, it->second);
            continue;
        }
        in_prefix = false;
        recent_.push_front(hash);
        blocks_[hash] = recent_.begin();
        if (blocks_.size() > max_blocks_)
        {
            blocks_.erase(recent_.back());
            recent_.pop_back();
        }
    }
    return cached;
}

} // namespace tanagertrack::standin
