#include "teams/fleet_quota.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <random>
#include <set>

using namespace tanagertrack;
using namespace std::chrono_literals;
using teams::quota_limit;
using teams::team_use;

namespace
{

constexpr std::uint64_t team = 5;

common::time_point at(int ms)
{
    return common::time_point(std::chrono::milliseconds(1'000'000 + ms));
}

/// Decisions of one entry without others.
struct lone_entry
{
    lone_entry()
    {
        quota.set_entries_known();
        quota.set_limits({{team, {10, 20}}}, at(0));
    }

    /// Sends requests until one is refused.
    int admit_all(int ms)
    {
        int n = 0;
        while (n < 1000 && !quota.try_admit(team, at(ms)))
            ++n;
        return n;
    }

    teams::fleet_quota quota{"e1-0", {}, at(-10000)};
};

/// Bytes of a team's counters in a message.
std::size_t wire_size(const team_use& use)
{
    const auto varint = [](std::uint32_t it)
    {
        std::size_t n = 1;
        for (; it >= 128; it >>= 7)
            ++n;
        return n;
    };
    const auto field = [&](std::uint32_t it)
    {
        return it == 0 ? 0 : 1 + varint(it);
    };
    constexpr std::size_t head_and_team = 2 + 9;
    return head_and_team + field(use.admitted) + field(use.asked_per_s);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(quota_rules, lone_entry)

// Guards against a Retry-After after which the team is refused again.
BOOST_AUTO_TEST_CASE(refusal_tells_when_the_team_may_send_again)
{
    BOOST_TEST(admit_all(0) >= 20);
    const auto wait = quota.try_admit(team, at(0));
    BOOST_REQUIRE(wait.has_value());
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(*wait).count();
    BOOST_TEST(ms <= 200);
    BOOST_TEST(!quota.try_admit(team, at(static_cast<int>(ms) + 1)));
}

BOOST_AUTO_TEST_CASE(returned_request_can_be_sent_again)
{
    admit_all(0);
    BOOST_REQUIRE(quota.try_admit(team, at(0)).has_value());
    quota.give_back(team);
    BOOST_TEST(!quota.try_admit(team, at(0)));
    BOOST_TEST(quota.try_admit(team, at(0)).has_value());
}

// Guards against a lowered limit that lets the rest of the old burst pass.
BOOST_AUTO_TEST_CASE(lowered_limit_binds_at_once)
{
    BOOST_REQUIRE(!quota.try_admit(team, at(0)));
    quota.set_limits({{team, {1, 0}}}, at(10));
    BOOST_TEST(admit_all(10) <= 15);
}

BOOST_AUTO_TEST_CASE(team_without_limit_is_never_refused)
{
    quota.set_limits({{team, {0, 0}}}, at(0));
    BOOST_TEST(admit_all(0) == 1000);
    BOOST_TEST(quota.demand(team, at(0)) > 100);
    quota.set_limits({}, at(0));
    BOOST_TEST(admit_all(0) == 1000);
    BOOST_TEST(quota.size() == 0);
}

// Guards against bytes in the messages of fleets without teams.
BOOST_AUTO_TEST_CASE(nothing_is_sent_without_requests_of_teams)
{
    BOOST_TEST(quota.take_uses(64, at(0)).empty());
    quota.set_limits({}, at(0));
    (void)quota.try_admit(team, at(0));
    BOOST_TEST(quota.take_uses(64, at(0)).empty());
}

// Guards against a limit that fails after one lost message.
BOOST_AUTO_TEST_CASE(changed_counter_is_in_three_messages)
{
    (void)quota.try_admit(team, at(0));
    for (int i = 0; i < 3; ++i)
    {
        const auto uses = quota.take_uses(64, at(i));
        BOOST_REQUIRE(uses.size() == 1);
        BOOST_TEST(uses[0].team == team);
        BOOST_TEST(uses[0].admitted == 1);
    }
}

// Guards against messages that grow with the number of teams.
BOOST_AUTO_TEST_CASE(message_is_bounded_and_the_rest_follows)
{
    std::unordered_map<std::uint64_t, quota_limit> limits;
    for (std::uint64_t i = 0; i < 200; ++i)
        limits[i] = {10, 20};
    quota.set_limits(limits, at(0));
    for (std::uint64_t i = 0; i < 200; ++i)
        (void)quota.try_admit(i, at(0));
    std::set<std::uint64_t> sent;
    for (int i = 0; i < 4; ++i)
    {
        const auto uses = quota.take_uses(64, at(i));
        BOOST_TEST(uses.size() <= 64);
        for (const auto& it : uses)
            sent.insert(it.team);
    }
    BOOST_TEST(sent.size() == 200);
}

// Guards against a table that grows with all teams that ever sent a request.
BOOST_AUTO_TEST_CASE(idle_teams_are_dropped)
{
    (void)quota.try_admit(team, at(0));
    BOOST_TEST(quota.size() == 1);
    quota.expire(at(30'000));
    BOOST_TEST(quota.size() == 1);
    quota.expire(at(61'000));
    BOOST_TEST(quota.size() == 0);
    BOOST_TEST(quota.take_uses(64, at(61'000)).empty());
}

BOOST_AUTO_TEST_CASE(table_is_bounded)
{
    teams::quota_settings settings;
    settings.max_teams = 10;
    teams::fleet_quota it("e1-0", settings, at(0));
    std::unordered_map<std::uint64_t, quota_limit> limits;
    for (std::uint64_t i = 0; i < 100; ++i)
        limits[i] = {10, 20};
    it.set_limits(limits, at(0));
    for (int i = 0; i < 100; ++i)
        (void)it.try_admit(static_cast<std::uint64_t>(i), at(i));
    BOOST_TEST(it.size() == 10);
}

// Prints what the exchange costs, and guards against state beyond the memory
// of small hosts.
BOOST_AUTO_TEST_CASE(cost_by_entries_and_teams)
{
    constexpr int seconds = 3;
    constexpr int requests_per_s = 20;
    for (const std::size_t entries : {30, 100, 410})
    {
        for (const std::uint64_t n : {80, 500, 2000})
        {
            std::unordered_map<std::uint64_t, quota_limit> limits;
            std::unordered_map<std::uint64_t, quota_limit> unlimited;
            for (std::uint64_t i = 0; i < n; ++i)
            {
                limits[i * 7919] = {20, 40};
                unlimited[i * 7919] = {};
            }
            std::vector<teams::fleet_quota> all;
            for (std::size_t i = 0; i < entries; ++i)
            {
                all.emplace_back("e" + std::to_string(i),
                                 teams::quota_settings(), at(0));
                all.back().set_limits(i == 0 ? limits : unlimited, at(0));
            }
            for (std::size_t i = 1; i < entries; ++i)
                all[0].add_entry("e" + std::to_string(i), at(0));
            all[0].set_entries_known();

            std::mt19937 random(1);
            const int interval =
                std::clamp(static_cast<int>(entries) / 2, 15, 400);
            std::uint64_t bytes = 0;
            std::uint64_t messages = 0;
            std::clock_t used = 0;
            for (int ms = 0; ms < seconds * 1000; ms += interval)
            {
                for (std::size_t i = 0; i < entries; ++i)
                {
                    const auto before = std::clock();
                    const auto count = std::poisson_distribution<int>(
                        requests_per_s * interval / 1000.0)(random);
                    for (int k = 0; k < count; ++k)
                        (void)all[i].try_admit(random() % n * 7919, at(ms));
                    const auto uses = all[i].take_uses(64, at(ms));
                    if (i == 0)
                    {
                        used += std::clock() - before;
                        continue;
                    }
                    for (const auto& it : uses)
                        bytes += wire_size(it);
                    ++messages;
                    const auto received = std::clock();
                    all[0].handle_message("e" + std::to_string(i), uses,
                                          at(ms));
                    used += std::clock() - received;
                }
            }
            const double per_message =
                static_cast<double>(bytes) / static_cast<double>(messages);
            const double cpu =
                static_cast<double>(used) / CLOCKS_PER_SEC / seconds;
            BOOST_TEST_MESSAGE("entries "
                               << entries << " teams " << n << " bytes/message "
                               << per_message << " bytes/s to all "
                               << per_message * (entries - 1) * 1000 / interval
                               << " memory " << all[0].bytes() << " cpu ms/s "
                               << cpu * 1000);
            BOOST_TEST(per_message <= 64 * 24);
            BOOST_TEST(all[0].bytes() <= 32U * 1024 * 1024);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
