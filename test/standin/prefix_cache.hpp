#ifndef TANAGERTRACK_STANDIN_PREFIX_CACHE_HPP
#define TANAGERTRACK_STANDIN_PREFIX_CACHE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tanagertrack::standin
{

/// A change of the prefix cache as an engine publishes it.
struct cache_event
{
    std::uint64_t number = 0;
    bool stored = false;
    std::uint64_t block = 0;
    std::chrono::steady_clock::time_point time;
};

/// Prompt prefixes that an engine has in memory, in blocks of 64 bytes; the
/// blocks used least recently go first. One thread.
class prefix_cache
{
public:
    static constexpr std::size_t block_bytes = 64;

    /// `max_blocks` bounds the cache. Each `gap`-th event is never published;
    /// 0: all are.
    prefix_cache(std::size_t max_blocks, std::uint64_t gap);

    /// Returns how many bytes of the prompt's beginning are cached, and
    /// caches its blocks.
    std::size_t use(std::string_view prompt);

    /// Published events with a number from `from` on that are not newer than
    /// `newest`.
    std::vector<cache_event>
    events(std::uint64_t from,
           std::chrono::steady_clock::time_point newest) const;

private:
    static constexpr std::size_t max_events = 4096;

    void publish(bool stored, std::uint64_t block);

    std::size_t max_blocks_;
    std::uint64_t gap_;
    std::list<std::uint64_t> recent_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        blocks_;
    std::deque<cache_event> events_;
    std::uint64_t next_event_ = 1;
};

} // namespace tanagertrack::standin

#endif
