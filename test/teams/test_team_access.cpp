#include "teams/team_access.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace std::chrono_literals;
using common::result_code;

namespace
{

using boot_time = common::boot_clock::time_point;

constexpr auto bound = 5s;

struct fixture
{
    fixture()
    {
        access.age().confirm(start);
    }

    /// A configuration with the teams "a" (keys "k1" and "k2") and "b" ("k3").
    static fleet::configuration make_configuration()
    {
        fleet::team a;
        a.name = "a";
        a.key_hashes = {fleet::hash_team_key("k1"), fleet::hash_team_key("k2")};
        a.priority = 3;
        fleet::team b;
        b.name = "b";
        b.key_hashes = {fleet::hash_team_key("k3")};
        return {1, {}, {}, {}, std::vector<fleet::team>{a, b}};
    }

    static http::header_list with_key(const std::string& value)
    {
        return {{"Authorization", value}};
    }

    teams::caller identify(const http::header_list& headers,
                           std::chrono::milliseconds age = 1s,
                           bool is_public = false) const
    {
        return access.identify(configuration, headers, is_public, start + age);
    }

    boot_time start{1000s};
    fleet::configuration configuration = make_configuration();
    teams::team_access access{bound};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(team_access, fixture)

BOOST_AUTO_TEST_CASE(caller_is_identified_by_any_key_of_its_team)
{
    const auto first = identify(with_key("Bearer k1"));
    BOOST_TEST(!first.refusal.has_value());
    BOOST_TEST(first.team == "a");
    BOOST_TEST(first.priority.value() == 3U);
    BOOST_TEST(identify(with_key("bearer k2")).team == "a");
    BOOST_TEST(identify(with_key("Bearer k3")).team == "b");
}

// Guards against a request that is accepted without a valid key, or with two
// Authorization fields of which the target might read the other one.
BOOST_AUTO_TEST_CASE(request_without_one_valid_key_is_refused)
{
    const auto is_refused = [this](const http::header_list& headers)
    {
        return identify(headers).refusal == result_code::invalid_team_key;
    };
    BOOST_TEST(is_refused({}));
    BOOST_TEST(is_refused(with_key("Bearer ")));
    BOOST_TEST(is_refused(with_key("Bearer")));
    BOOST_TEST(is_refused(with_key("Basic k1")));
    BOOST_TEST(is_refused(with_key("Bearer other")));
    BOOST_TEST(is_refused(
        {{"Authorization", "Bearer k1"}, {"authorization", "Bearer k1"}}));
}

// Guards against a final refusal of a caller whose key was added by a
// configuration that this process has not read yet.
BOOST_AUTO_TEST_CASE(unknown_key_is_refused_for_good_only_with_a_recent_view)
{
    const auto headers = with_key("Bearer new");
    BOOST_TEST(
        (identify(headers, 2499ms).refusal == result_code::invalid_team_key));
    BOOST_TEST((identify(headers, 2500ms).refusal ==
                result_code::configuration_stale));
}

BOOST_AUTO_TEST_CASE(public_route_needs_no_key_at_any_age)
{
    BOOST_TEST(!identify({}, 1h, true).refusal.has_value());
    BOOST_TEST(!identify(with_key("Bearer x"), 1h, true).refusal.has_value());
    BOOST_TEST(identify(with_key("Bearer k1"), 1h, true).team == "a");
}

BOOST_AUTO_TEST_CASE(configuration_without_teams_identifies_nobody)
{
    const fleet::configuration without(1, {}, {}, {});
    const auto it =
        access.identify(without, with_key("Bearer k1"), false, start + 1h);
    BOOST_TEST(!it.refusal.has_value());
    BOOST_TEST(it.team.empty());
    BOOST_TEST(access.permits_new_callers(&without, start + 1h));
}

// Guards against a request with a revoked key that runs at a process that does
// not reach the store any more.
BOOST_AUTO_TEST_CASE(keys_are_refused_once_the_view_has_reached_the_bound)
{
    const auto hash = fleet::hash_team_key("k1");
    const auto check = [&](std::chrono::milliseconds age)
    {
        return access.revalidate(configuration, hash, "a", start + age);
    };
    BOOST_TEST(!check(bound - 1ms).has_value());
    BOOST_TEST((check(bound) == result_code::configuration_stale));
    BOOST_TEST((identify(with_key("Bearer k1"), bound).refusal ==
                result_code::configuration_stale));
    access.age().confirm(start + 2s);
    BOOST_TEST(!check(bound).has_value());

    // An answer to an earlier read that arrives late changes nothing.
    access.age().confirm(start);
    BOOST_TEST(!check(bound).has_value());
}

BOOST_AUTO_TEST_CASE(callers_are_sent_elsewhere_before_keys_are_refused)
{
    const auto accepts = [&](std::chrono::milliseconds age)
    {
        return access.permits_new_callers(&configuration, start + age);
    };
    BOOST_TEST(accepts(2999ms));
    BOOST_TEST(!accepts(3s));
}

// Guards against keys that are accepted by a process that has its configuration
// from another process and has never read the store.
BOOST_AUTO_TEST_CASE(view_without_a_confirmation_has_no_valid_keys)
{
    const teams::team_access never_confirmed(bound);
    const auto it = never_confirmed.identify(
        configuration, with_key("Bearer k1"), false, start);
    BOOST_TEST((it.refusal == result_code::configuration_stale));
    BOOST_TEST(!never_confirmed.permits_new_callers(&configuration, start));
}

BOOST_AUTO_TEST_CASE(request_is_not_sent_after_its_key_was_revoked_or_moved)
{
    const auto hash = fleet::hash_team_key("k3");
    const auto revalidate = [&](std::string_view team)
    {
        return access.revalidate(configuration, hash, team, start + 1s);
    };
    BOOST_TEST(!revalidate("b").has_value());
    BOOST_TEST((revalidate("a") == result_code::invalid_team_key));
    BOOST_TEST(
        (access.revalidate(configuration, fleet::hash_team_key("gone"), "b",
                           start + 1s) == result_code::invalid_team_key));
}

BOOST_AUTO_TEST_CASE(without_a_bound_keys_are_accepted_at_any_age)
{
    teams::team_access unbounded(0ms);
    const auto it = unbounded.identify(configuration, with_key("Bearer k1"),
                                       false, start + 1h);
    BOOST_TEST(!it.refusal.has_value());
    BOOST_TEST(unbounded.permits_new_callers(&configuration, start + 1h));
}

BOOST_AUTO_TEST_SUITE_END()
