#ifndef TANAGERTRACK_FLEET_CONFIGURATION_HPP
#define TANAGERTRACK_FLEET_CONFIGURATION_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tanagertrack::fleet
{

/// How often a request may run.
enum class repetition : std::uint8_t
{
    /// Idempotent: may run any number of times.
    repeatable,

    /// Streams numbered events; another target can continue the stream after
    /// the last event received.
    resumable,

    /// Must not run more than once.
    once
};

/// Kind of requests that a route serves.
enum class route_kind : std::uint8_t
{
    /// One request with one complete response.
    call,

    /// One request whose response is a stream of events.
    stream,

    /// Batch jobs.
    batch
};

/// A group of targets that serve the same requests.
struct service
{
    std::string name;

    /// HTTP path of the targets' health check.
    std::string health_path;

    /// Maximum number of connections that a target accepts; 0: unknown.
    std::uint32_t max_connections = 0;

    /// Maximum number of requests that a target runs concurrently; 0: unknown.
    std::uint32_t slots = 0;

    /// True if the targets are model engines.
    bool generates = false;
};

/// Share of a route's requests that is sent to a service: its weight relative
/// to the sum of all weights of the route.
struct service_share
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Determines how requests with one host name and path prefix are served.
struct route
{
    std::string name;
    std::string host;

    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::call;
    repetition repeats = repetition::once;

    /// Services that run the requests.
    std::vector<service_share> services;

    /// Maximum number of targets on which one request may run.
    std::uint32_t max_attempts = 1;

    /// Maximum time from the arrival of a request to its deadline.
    std::chrono::milliseconds timeout{5000};

    /// Objective for the time to the first byte of the response.
    std::chrono::milliseconds objective{1000};

    /// Objective for the longest pause between two events of a stream; 0: none.
    std::chrono::milliseconds gap_objective{0};

    /// Priority of the route; 0 is the highest.
    std::uint32_t priority = 0;

    /// True if requests need no key of a team.
    bool is_public = false;

    // The following members apply to batch jobs only.

    /// Time from the submission of a job to its due time.
    std::chrono::milliseconds due_after{0};

    /// Time from the submission of an item after which it may be dropped.
    std::chrono::milliseconds expires_after{0};

    /// Maximum number of tokens of accepted items that wait; 0: no limit. Holds
    /// for each team if the configuration has teams.
    std::uint64_t max_waiting_tokens = 0;
};

/// Callers that share keys, a rate limit and their batch jobs.
struct team
{
    std::string name;

    /// Hashes of the team's keys, see `hash_team_key`.
    std::vector<std::string> key_hashes;

    /// Priority of the team's requests, in place of that of their route; 0 is
    /// the highest.
    std::optional<std::uint32_t> priority;

    /// Rate limit over all entries together; 0: no limit.
    double requests_per_second = 0;

    /// Requests that the team can send at once after an idle time.
    double burst = 0;
};

/// Returns a 128-bit hash of a team's key, with a random seed of the process:
/// the time of a look-up says nothing of how much of a key is right.
std::string hash_team_key(std::string_view key);

/// Size and time limits for the requests of callers.
struct request_limits
{
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 4UL * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};

    bool operator==(const request_limits&) const = default;
};

/// One version of the fleet's configuration, with tables for look-ups.
/// Immutable after construction.
class configuration
{
public:
    /// Builds the look-up tables. Of several routes with the same host and
    /// prefix, the last one is used. Without `teams`, requests need no key.
    configuration(std::uint64_t version, std::vector<route> routes,
                  std::vector<service> services, request_limits limits,
                  std::optional<std::vector<team>> teams = std::nullopt);

    std::uint64_t version() const
    {
        return version_;
    }

    const std::vector<route>& routes() const
    {
        return routes_;
    }

    const std::vector<service>& services() const
    {
        return services_;
    }

    const request_limits& limits() const
    {
        return limits_;
    }

    /// Returns true if requests need a key of a team, except on public routes.
    bool requires_key() const
    {
        return requires_key_;
    }

    const std::vector<team>& teams() const
    {
        return teams_;
    }

    /// Returns the route of the host whose prefix is the longest one that
    /// `path` begins with, or nullptr. The number of look-ups is at most the
    /// number of slashes in `path`.
    const route* find_route(std::string_view host, std::string_view path) const;

    /// The same among the routes for batch jobs only.
    const route* find_batch_route(std::string_view host,
                                  std::string_view path) const;

    /// Returns true if there is a route of this host.
    bool has_host(std::string_view host) const;

    /// Returns the route with this name, or nullptr.
    const route* find_route_named(std::string_view name) const;

    /// Returns the service with this name, or nullptr.
    const service* find_service(std::string_view name) const;

    /// Returns the team with a key of this hash, or nullptr.
    const team* find_team(std::string_view key_hash) const;

    /// Returns the team with this name, or nullptr.
    const team* find_team_named(std::string_view name) const;

private:
    struct text_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };

    using index = std::unordered_map<std::string, std::size_t, text_hash,
                                     std::equal_to<>>;

    /// Returns the route with the longest prefix that `path` begins with, among
    /// the positions in `prefixes`, or nullptr.
    const route* find_longest_prefix(const index& prefixes,
                                     std::string_view host,
                                     std::string_view path) const;

    std::uint64_t version_;
    std::vector<route> routes_;
    std::vector<service> services_;
    request_limits limits_;
    bool requires_key_;
    std::vector<team> teams_;

    /// Positions of routes by host and prefix, see prefix_key() in the source:
    /// of all routes, and of those for batch jobs.
    index by_prefix_;
    index batch_by_prefix_;

    /// Position of one route of each host.
    index by_host_;
    index by_name_;
    index services_by_name_;
    index teams_by_key_;
    index teams_by_name_;
};

using configuration_ptr = std::shared_ptr<const configuration>;

} // namespace tanagertrack::fleet

#endif
