#ifndef TANAGERTRACK_FLEET_CONFIGURATION_HPP
#define TANAGERTRACK_FLEET_CONFIGURATION_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tanagertrack::fleet
{

/// Whether the work of a request may be done more than once.
enum class repetition : std::uint8_t
{
    /// Idempotent: may run any number of times.
    repeatable,

    /// A stream of numbered events that another target can continue.
    resumable,

    /// Runs at most once.
    once
};

/// What a route carries.
enum class route_kind : std::uint8_t
{
    /// One request, one whole answer.
    call,

    /// One request, an answer that is a stream of events.
    stream,

    /// Batch jobs.
    batch
};

/// A group of targets that serve the same requests.
struct service
{
    std::string name;

    /// Path of the targets' health check.
    std::string health_path;

    /// Connections that a target accepts from all callers; 0: not stated.
    std::uint32_t max_connections = 0;

    /// Requests that a target runs at a time; 0: not stated.
    std::uint32_t slots = 0;

    /// Whether the targets are model engines.
    bool generates = false;
};

/// Share of a route's requests that goes to a service.
struct service_share
{
    std::string service;
    std::uint32_t weight = 1;
};

/// How requests of one host name and path prefix are served.
struct route
{
    std::string name;
    std::string host;

    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::call;
    repetition repeats = repetition::once;

    /// Services that run the requests; weights are relative.
    std::vector<service_share> services;

    /// Targets that one request may run on.
    std::uint32_t max_attempts = 1;

    /// Longest time that a request is kept waiting.
    std::chrono::milliseconds timeout{5000};

    /// Time to the first byte of an answer that callers want.
    std::chrono::milliseconds objective{1000};

    /// Longest pause between two events that callers want; 0: none stated.
    std::chrono::milliseconds gap_objective{0};

    /// Rank among routes; 0 is the most urgent.
    std::uint32_t priority = 0;

    // Batch jobs.

    /// Time after its submission at which a job's results are due.
    std::chrono::milliseconds due_after{0};

    /// Time after its submission after which an item may be given up.
    std::chrono::milliseconds expires_after{0};

    /// Tokens of accepted items that may wait; 0: no limit.
    std::uint64_t max_waiting_tokens = 0;
};

/// Limits on what callers send.
struct request_limits
{
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 4UL * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};

    bool operator==(const request_limits&) const = default;
};

/// One version of the fleet's configuration. Immutable once it is published.
class configuration
{
public:
    /// Builds the look-up tables. Of two routes with the same host and
    /// prefix, the later one counts.
    configuration(std::uint64_t version, std::vector<route> routes,
                  std::vector<service> services, request_limits limits);

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

    /// Route of the host with the longest prefix that begins `path`; null if
    /// there is none. Takes time linear in the slashes of `path`.
    const route* find_route(std::string_view host, std::string_view path) const;

    /// Whether the host has any route.
    bool knows_host(std::string_view host) const;

    /// Route of a name; null if there is none.
    const route* find_route_named(std::string_view name) const;

    /// Service of a name; null if there is none.
    const service* find_service(std::string_view name) const;

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

    std::uint64_t version_;
    std::vector<route> routes_;
    std::vector<service> services_;
    request_limits limits_;

    /// Keys are host and prefix.
    index by_prefix_;
    index by_host_;
    index by_name_;
    index by_service_;
};

using configuration_ptr = std::shared_ptr<const configuration>;

} // namespace tanagertrack::fleet

#endif
