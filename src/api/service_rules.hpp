#ifndef TANAGERTRACK_API_SERVICE_RULES_HPP
#define TANAGERTRACK_API_SERVICE_RULES_HPP

#include "proto/tickets.pb.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::api
{

/// A call to a plain service, from the target of a caller's request
/// `/v1/services/{name}/path?query`.
struct service_target
{
    std::string name;

    /// Path and query towards the service; starts with '/'.
    std::string path;
};

/// Splits a request target; nothing when it names no service.
std::optional<service_target> parse_service_target(std::string_view target);

/// Which calls of a service may not be repeated. Calls that match no rule are
/// repeatable: configuration alone decides, not the method.
class service_rules
{
public:
    explicit service_rules(const proto::ServiceSpec& spec);

    /// Whether a call with this path (and query) may be repeated. Nothing for
    /// a path that servers could read in two ways ("//", "/../", encoded
    /// slashes, broken escapes), which could evade a rule.
    std::optional<bool> is_repeatable(std::string_view method,
                                      std::string_view path) const;

private:
    struct rule
    {
        std::string method;
        std::string prefix;
    };

    std::vector<rule> rules_;
};

} // namespace tanagertrack::api

#endif
