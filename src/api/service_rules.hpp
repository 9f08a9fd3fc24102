#ifndef TANAGERTRACK_API_SERVICE_RULES_HPP
#define TANAGERTRACK_API_SERVICE_RULES_HPP

#include "proto/tickets.pb.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::api
{

/// Service and path of a request target `/v1/services/{name}/path?query`.
struct service_target
{
    std::string name;

    /// Path and query that are sent to the service; starts with '/'.
    std::string path;
};

/// Splits a request target. Returns std::nullopt if it names no service.
std::optional<service_target> parse_service_target(std::string_view target);

/// Rules that say which calls of a service may not be repeated. Calls that
/// match no rule are repeatable, whichever HTTP method they use.
class service_rules
{
public:
    explicit service_rules(const proto::ServiceSpec& spec);

    /// Returns true if a call with this path, which may include a query, may be
    /// repeated. Returns std::nullopt for a path that servers could interpret
    /// differently ("//", "/../", encoded slashes, invalid escapes), because
    /// such a path could evade a rule. Without rules, every path is repeatable.
    std::optional<bool> is_repeatable(std::string_view method,
                                      std::string_view path) const;

private:
    /// Matches the calls with this method whose decoded path has this prefix.
    struct rule
    {
        std::string method;
        std::string prefix;
    };

    std::vector<rule> rules_;
};

} // namespace tanagertrack::api

#endif
