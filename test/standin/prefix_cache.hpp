#ifndef TANAGERTRACK_STANDIN_PREFIX_CACHE_HPP
#define TANAGERTRACK_STANDIN_PREFIX_CACHE_HPP

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace tanagertrack::standin
{

/// LRU cache of prompt prefixes in blocks of 64 bytes, as an engine has it. A
/// block is identified by the hash of the prompt from its beginning to the end
/// of the block. Not thread-safe: all calls are made on the thread of the
/// io_context.
class prefix_cache
{
public:
    static constexpr std::size_t block_bytes = 64;

    /// `max_blocks` is the capacity in blocks.
    explicit prefix_cache(std::size_t max_blocks);

    /// Returns how many bytes from the beginning of the prompt are cached, and
    /// adds all its whole blocks to the cache.
    std::size_t match_and_insert(std::string_view prompt);

private:
    std::size_t max_blocks_;

    /// Hashes of the cached blocks, the most recently used first.
    std::list<std::uint64_t> recent_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        blocks_;
};

} // namespace tanagertrack::standin

#endif
