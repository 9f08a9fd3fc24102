#include "quarantine/answered_parts.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::quarantine
{

answered_parts::answered_parts(std::size_t max_parts,
                               std::chrono::milliseconds lifetime)
    : max_parts_(max_parts), lifetime_(lifetime)
{
}

void answered_parts::record(const sound_part& part)
{
    const bool full =
        recent_.size() >= max_parts_ / 2 ||
        (recent_since_ && part.at - *recent_since_ > lifetime_ / 2);
    if (full)
    {
        older_ = std::exchange(recent_, {});
        recent_since_.reset();
    }
    if (!recent_since_)
        recent_since_ = part.at;
    auto& at = recent_[part.part];
    at = std::max(at, part.at);
}

std::optional<common::time_point>
answered_parts::find(routing::part_key part) const
{
    for (const auto* it : {&recent_, &older_})
    {
        const auto found = it->find(part);
        if (found != it->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace tanagertrack::quarantine
