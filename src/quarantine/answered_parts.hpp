#ifndef TANAGERTRACK_QUARANTINE_ANSWERED_PARTS_HPP
#define TANAGERTRACK_QUARANTINE_ANSWERED_PARTS_HPP

#include "quarantine/crash_report.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>

namespace tanagertrack::quarantine
{

/// Remembers for some minutes which parts of prompts targets have answered, in
/// bounded memory: parts are forgotten by halves, the older ones first. Has no
/// clock of its own: times are passed in. Not thread-safe.
class answered_parts
{
public:
    /// A part is remembered for at least half of `lifetime`, unless more than
    /// half of `max_parts` are answered meanwhile.
    explicit answered_parts(
        std::size_t max_parts = 8192,
        std::chrono::milliseconds lifetime = std::chrono::minutes(10));

    void record(const sound_part& part);

    /// Returns the time of the last answer; std::nullopt if none is remembered.
    std::optional<common::time_point> find(routing::part_key part) const;

    /// Number of remembered entries.
    std::size_t size() const
    {
        return recent_.size() + older_.size();
    }

private:
    using times = std::unordered_map<routing::part_key, common::time_point>;

    std::size_t max_parts_;
    std::chrono::milliseconds lifetime_;
    times recent_;
    times older_;

    /// Time since which parts are added to `recent_`.
    std::optional<common::time_point> recent_since_;
};

} // namespace tanagertrack::quarantine

#endif
