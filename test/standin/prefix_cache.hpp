#ifndef TANAGERTRACK_STANDIN_PREFIX_CACHE_HPP
#define TANAGERTRACK_STANDIN_PREFIX_CACHE_HPP

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace tanagertrack::standin
{

/// Prompt prefixes that an engine has in memory, in blocks of 64 bytes; the
/// blocks used least recently go first. One thread.
class prefix_cache
{
public:
    static constexpr std::size_t block_bytes = 64;

    /// `max_blocks` bounds the cache.
    explicit prefix_cache(std::size_t max_blocks);

    /// Returns how many bytes of the prompt's beginning are cached, and
    /// caches its blocks.
    std::size_t use(std::string_view prompt);

private:
    std::size_t max_blocks_;
    std::list<std::uint64_t> recent_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        blocks_;
};

} // namespace tanagertrack::standin

#endif
