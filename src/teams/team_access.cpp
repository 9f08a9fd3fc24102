#include "teams/team_access.hpp"

#include "http/syntax.hpp"

#include <algorithm>

namespace tanagertrack::teams
{

using common::result_code;

namespace
{

constexpr std::string_view authorization = "Authorization";

bool is_authorization(const http::header& field)
{
    return http::equals_ignoring_case(field.name, authorization);
}

} // namespace

std::string_view find_bearer_key(const http::header_list& headers)
{
    if (std::ranges::count_if(headers, is_authorization) != 1)
        return {};
    return http::bearer_credentials(headers.find(authorization));
}

team_access::team_access(std::chrono::milliseconds max_view_age)
    : age_(max_view_age)
{
}

caller team_access::identify(const fleet::configuration& configuration,
                             const http::header_list& headers, bool is_public,
                             view_age::time_point now) const
{
    caller it;
    if (!configuration.requires_key())
        return it;
    const auto key = find_bearer_key(headers);
    const fleet::team* team = nullptr;
    if (!key.empty())
    {
        it.key_hash = fleet::hash_team_key(key);
        team = configuration.find_team(it.key_hash);
    }
    if (team != nullptr)
    {
        it.team = team->name;
        it.priority = team->priority;
        if (!is_public && !age_.permits_keys(now))
            it.refusal = result_code::configuration_stale;
        return it;
    }
    it.key_hash.clear();
    if (is_public)
        return it;

    // The key may be one of a configuration that was not read yet.
    const bool may_be_valid = !key.empty() && !age_.excludes_unread_keys(now);
    it.refusal = may_be_valid ? result_code::configuration_stale
                              : result_code::invalid_team_key;
    return it;
}

std::optional<result_code>
team_access::revalidate(const fleet::configuration& configuration,
                        std::string_view key_hash, std::string_view team,
                        view_age::time_point now) const
{
    if (!configuration.requires_key())
        return std::nullopt;
    const auto* holder = configuration.find_team(key_hash);
    if (holder == nullptr || holder->name != team)
        return result_code::invalid_team_key;
    if (!age_.permits_keys(now))
        return result_code::configuration_stale;
    return std::nullopt;
}

bool team_access::permits_new_callers(const fleet::configuration* configuration,
                                      view_age::time_point now) const
{
    return configuration == nullptr || !configuration->requires_key() ||
           age_.permits_new_callers(now);
}

} // namespace tanagertrack::teams
