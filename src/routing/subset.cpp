#include "routing/subset.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

namespace tanagertrack::routing
{

namespace
{

/// Weights indexed by `distance`. With four times as many connections within
/// the data centre as to another region, some entries of other regions still
/// connect to each target. It stays in use when the entries near it fail.
constexpr double weights[] = {4.0, 2.0, 1.0};

struct scored_member
{
    double score = 0;
    std::size_t index = 0;
};

/// Returns a number that is uniform in (0, 1), from the hash of the pair.
double uniform_hash(std::string_view entry, std::string_view target)
{
    std::string pair(entry);
    pair += '\0';
    pair += target;
    constexpr double scale = 1.0 / 9007199254740993.0; // 2^53 + 1
    return (static_cast<double>(common::hash64(pair) >> 11) + 0.5) * scale;
}

} // namespace

distance distance_between(const location& a, const location& b)
{
    if (a.data_centre == b.data_centre)
        return distance::same_data_centre;
    return a.region == b.region ? distance::same_region
                                : distance::other_region;
}

std::vector<std::size_t> choose_subset(std::string_view entry,
                                       const location& entry_location,
                                       std::span<const subset_member> members,
                                       std::size_t size)
{
    std::vector<scored_member> scores;
    scores.reserve(members.size());
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        const auto proximity =
            distance_between(entry_location, members[i].target_location);
        const double weight = weights[static_cast<unsigned>(proximity)];
        const double score =
            -weight / std::log(uniform_hash(entry, members[i].name));
        scores.push_back({score, i});
    }
    size = std::min(size, scores.size());
    const auto has_higher_score =
        [](const scored_member& a, const scored_member& b)
    {
        return a.score > b.score;
    };
    std::partial_sort(scores.begin(),
                      scores.begin() + static_cast<std::ptrdiff_t>(size),
                      scores.end(), has_higher_score);

    std::vector<std::size_t> chosen;
    chosen.reserve(size);
    for (std::size_t i = 0; i < size; ++i)
        chosen.push_back(scores[i].index);
    return chosen;
}

} // namespace tanagertrack::routing
