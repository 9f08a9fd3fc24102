#ifndef TANAGERTRACK_ROUTING_SUBSET_HPP
#define TANAGERTRACK_ROUTING_SUBSET_HPP

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace tanagertrack::routing
{

/// Data centre and region of a process or a target.
struct location
{
    std::string_view data_centre;
    std::string_view region;
};

/// Network distance class of two locations, from near to far.
enum class distance : unsigned
{
    same_data_centre,
    same_region,
    other_region
};

/// Returns the distance class of two locations. Only data centres of different
/// names are compared by region.
distance distance_between(const location& a, const location& b);

/// A target that an entry may connect to.
struct subset_member
{
    std::string_view name;
    location target_location;
};

/// Chooses the targets that an entry connects to. Returns indexes into
/// `members`, at most `size`, the highest score first.
///
/// Uses weighted rendezvous hashing of the pair (entry, target). Near targets
/// have a higher weight, but no weight is 0, so that all targets are covered
/// when entries times `size` is a multiple of the number of targets. The choice
/// depends on names, locations and `size` only. Adding or removing a target
/// changes at most one element of the subset.
std::vector<std::size_t> choose_subset(std::string_view entry,
                                       const location& entry_location,
                                       std::span<const subset_member> members,
                                       std::size_t size);

} // namespace tanagertrack::routing

#endif
