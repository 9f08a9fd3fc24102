#ifndef TANAGERTRACK_QUARANTINE_CRASH_REPORT_HPP
#define TANAGERTRACK_QUARANTINE_CRASH_REPORT_HPP

#include "common/clock.hpp"
#include "routing/prompt.hpp"

#include <cstdint>
#include <vector>

namespace tanagertrack::quarantine
{

/// A request whose target was lost before it had sent any content of the
/// answer, and could not be reached afterwards.
struct crash_report
{
    /// Hash of the ids of the request and of the target: all copies of a report
    /// have the same one.
    std::uint64_t id = 0;

    /// Key of the target.
    std::uint32_t target = 0;

    /// Prompt of the request.
    routing::prompt prompt;

    /// True if the target had begun to answer: the head of a response was
    /// received.
    bool answer_begun = false;

    /// Time of the loss.
    common::time_point at;
};

/// A part of a prompt with which a target has answered.
struct sound_part
{
    routing::part_key part = 0;
    common::time_point at;
};

/// What an entry has observed and sends to the other entries.
struct observations
{
    std::vector<crash_report> crashes;
    std::vector<sound_part> sound_parts;
};

} // namespace tanagertrack::quarantine

#endif
