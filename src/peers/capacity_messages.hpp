#ifndef TANAGERTRACK_PEERS_CAPACITY_MESSAGES_HPP
#define TANAGERTRACK_PEERS_CAPACITY_MESSAGES_HPP

#include "routing/capacity_table.hpp"

#include <cstddef>
#include <functional>
#include <vector>

namespace tanagertrack::peers
{

class LoadMessage;

/// Adds news on capacities to a message that is complete otherwise, so that it
/// grows by about a fifth at most. `take` returns at most the given number of
/// pieces of news.
void add_capacity_news(
    LoadMessage& message,
    const std::function<std::vector<routing::capacity_news>(std::size_t)>&
        take);

/// Passes the news on capacities in a message to `apply`.
void read_capacity_news(
    const LoadMessage& message,
    const std::function<void(const routing::capacity_news&)>& apply);

} // namespace tanagertrack::peers

#endif
