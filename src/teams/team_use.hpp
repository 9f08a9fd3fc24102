#ifndef TANAGERTRACK_TEAMS_TEAM_USE_HPP
#define TANAGERTRACK_TEAMS_TEAM_USE_HPP

#include <cstdint>

namespace tanagertrack::teams
{

/// Requests of a team at one entry, as sent to the others.
struct team_use
{
    /// See `team_key`.
    std::uint64_t team = 0;

    /// Admitted requests since the process began, modulo 2^32.
    std::uint32_t admitted = 0;

    /// Current rate of requests, also refused ones.
    std::uint32_t asked_per_s = 0;

    bool operator==(const team_use&) const = default;
};

} // namespace tanagertrack::teams

#endif
