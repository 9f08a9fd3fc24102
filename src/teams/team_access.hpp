#ifndef TANAGERTRACK_TEAMS_TEAM_ACCESS_HPP
#define TANAGERTRACK_TEAMS_TEAM_ACCESS_HPP

#include "common/result_code.hpp"
#include "fleet/configuration.hpp"
#include "http/header_list.hpp"
#include "teams/view_age.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::teams
{

/// A caller as identified by its key.
struct caller
{
    /// Name of the team; empty if the request needs no key and has none.
    std::string team;

    /// See fleet::hash_team_key.
    std::string key_hash;

    /// Priority of the team, if it has one.
    std::optional<std::uint32_t> priority;

    /// Why the request is refused, if it is.
    std::optional<common::result_code> refusal;
};

/// Returns the key in the Authorization field, or an empty view if there is no
/// such field, more than one, or one with another scheme than Bearer. The case
/// of the scheme is ignored.
std::string_view find_bearer_key(const http::header_list& headers);

/// Identifies callers by their keys, and decides whether a key is still valid
/// when a request is sent. Has no clock of its own: the current time is passed
/// in. Not thread-safe.
class team_access
{
public:
    /// `max_view_age` is the maximum age of the view of the configuration with
    /// which keys are accepted; 0: no bound.
    explicit team_access(std::chrono::milliseconds max_view_age);

    /// Identifies the caller of a request by its header. A request on a public
    /// route is never refused. Without teams in the configuration, the caller
    /// has no team.
    caller identify(const fleet::configuration& configuration,
                    const http::header_list& headers, bool is_public,
                    view_age::time_point now) const;

    /// Returns why a request of an identified caller may not be sent to a
    /// target, if it may not: its key was revoked, belongs to another team, or
    /// may have been revoked since the configuration was read.
    std::optional<common::result_code>
    revalidate(const fleet::configuration& configuration,
               std::string_view key_hash, std::string_view team,
               view_age::time_point now) const;

    /// Returns true if callers should be sent to this process.
    bool permits_new_callers(const fleet::configuration* configuration,
                             view_age::time_point now) const;

    view_age& age()
    {
        return age_;
    }

private:
    view_age age_;
};

} // namespace tanagertrack::teams

#endif
