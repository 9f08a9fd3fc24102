#ifndef TANAGERTRACK_ROUTING_SUBSET_HPP
#define TANAGERTRACK_ROUTING_SUBSET_HPP

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace tanagertrack::routing
{

/// Where a process or a target is.
struct location
{
    std::string_view data_centre;
    std::string_view region;
};

/// How far two locations are from each other.
enum class distance : unsigned
{
    same_data_centre,
    same_region,
    other_region
};

/// Distance between two locations.
distance distance_between(const location& a, const location& b);

/// A target that an entry could connect to.
struct subset_member
{
    std::string_view name;
    location place;
};

/// Chooses the targets that an entry connects to: indexes into `members`,
/// best first, at most `size`.
///
/// Weighted rendezvous hashing of (entry, target): near targets have a higher
/// weight, but every target has one, so that all targets are covered when
/// entries times `size` is a multiple of the number of targets. The choice
/// depends on nothing else; a target that is added or removed changes at most
/// one place.
std::vector<std::size_t> choose_subset(std::string_view entry,
                                       const location& place,
                                       std::span<const subset_member> members,
                                       std::size_t size);

} // namespace tanagertrack::routing

#endif
