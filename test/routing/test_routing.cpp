#include "routing/retry_budget.hpp"
#include "routing/subset.hpp"
#include "routing/target_choice.hpp"
#include "routing/team_limits.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace tanagertrack;
using namespace tanagertrack::routing;
using std::chrono::milliseconds;

namespace
{

constexpr unsigned seed = 20261204;

random_below make_random()
{
    BOOST_TEST_MESSAGE("seed " << seed);
    return [random = std::mt19937(seed)](std::size_t n) mutable
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
    };
}

common::time_point at(int ms)
{
    return common::time_point(milliseconds(1000000 + ms));
}

/// 100 targets in four data centres, and the subsets that entries choose.
struct fleet
{
    fleet()
    {
        for (int i = 0; i < 100; ++i)
            names.push_back("lm-" + std::to_string(i));
        for (std::size_t i = 0; i < names.size(); ++i)
            members.push_back({names[i], {centres[i % 4], "rs-sul"}});
    }

    std::vector<std::size_t> subset(int entry, std::size_t size) const
    {
        return choose_subset("entry-" + std::to_string(entry),
                             {centres[entry % 4], "rs-sul"}, members, size);
    }

    std::string_view centres[4] = {"poa-a", "poa-b", "cxs-a", "pel-a"};
    std::vector<std::string> names;
    std::vector<subset_member> members;
};

} // namespace

BOOST_AUTO_TEST_SUITE(subsets)

// Guards against targets that no entry connects to, or that too many do.
BOOST_AUTO_TEST_CASE(every_target_is_in_the_subsets_of_several_entries)
{
    const fleet it;
    std::vector<int> uses(it.members.size());
    int near_connections = 0;
    for (int entry = 0; entry < 60; ++entry)
    {
        for (const auto index : it.subset(entry, 20))
        {
            ++uses[index];
            near_connections += it.members[index].target_location.data_centre ==
                                it.centres[entry % 4];
        }
    }
    BOOST_TEST(*std::ranges::min_element(uses) >= 3);
    BOOST_TEST(*std::ranges::max_element(uses) <= 30);

    // Without preference for near targets, a quarter of the connections would
    // be within the data centre.
    BOOST_TEST(near_connections > 60 * 20 / 3);
}

// Guards against a burst of new connections whenever the fleet changes.
BOOST_AUTO_TEST_CASE(removed_target_changes_one_element_of_the_subset)
{
    fleet it;
    const auto before = it.subset(1, 20);
    const auto removed = before[3];
    std::set<std::string_view> expected;
    for (const auto index : before)
        expected.insert(it.members[index].name);
    it.members.erase(it.members.begin() + static_cast<std::ptrdiff_t>(removed));
    int kept = 0;
    for (const auto index : it.subset(1, 20))
        kept += static_cast<int>(expected.count(it.members[index].name));
    BOOST_TEST(kept == 19);
}

BOOST_AUTO_TEST_CASE(
    all_targets_are_chosen_when_the_fleet_is_smaller_than_the_subset)
{
    const fleet it;
    BOOST_TEST(it.subset(0, 500).size() == it.members.size());
    BOOST_TEST(choose_subset("e", {}, {}, 20).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(choice)

BOOST_AUTO_TEST_CASE(two_choices_never_chooses_the_most_loaded_target)
{
    target_choice choice(choice_policy::two_choices, make_random());
    std::vector<candidate> all(5);
    all[2].load = 2;
    std::vector<int> hits(5);
    for (int i = 0; i < 1000; ++i)
        ++hits[choice.choose(all)];
    BOOST_TEST(hits[2] == 0);
    for (const std::size_t i : {0, 1, 3, 4})
        BOOST_TEST(hits[i] > 150);
}

BOOST_AUTO_TEST_CASE(near_target_is_chosen_unless_its_load_is_much_higher)
{
    target_choice choice(choice_policy::two_choices, make_random());
    std::vector<candidate> all(2);
    all[1].proximity = distance::other_region;
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(choice.choose(all) == 0U);
    all[0].load = 1;
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(choice.choose(all) == 1U);
}

BOOST_AUTO_TEST_CASE(round_robin_and_random_ignore_load)
{
    std::vector<candidate> all(3);
    all[0].load = 9;
    target_choice round_robin(choice_policy::round_robin, make_random());
    target_choice random_choice(choice_policy::random, make_random());
    std::vector<int> hits(3);
    for (int i = 0; i < 3000; ++i)
    {
        BOOST_TEST(round_robin.choose(all) == static_cast<std::size_t>(i % 3));
        ++hits[random_choice.choose(all)];
    }
    BOOST_TEST(hits[0] > 800);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(limits)

// Guards against retries that multiply the load when many targets fail.
BOOST_AUTO_TEST_CASE(retries_are_limited_to_their_share_of_requests)
{
    retry_budget budget({0.1, 5});
    int acquired = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.record_request();
        acquired += budget.try_acquire() ? 1 : 0;
    }
    BOOST_TEST(acquired >= 100);
    BOOST_TEST(acquired <= 105);
    retry_budget none({0, 5});
    BOOST_TEST(!none.try_acquire());
}

BOOST_AUTO_TEST_CASE(
    request_over_the_team_rate_gets_the_time_until_the_next_token)
{
    team_limits limits(2);
    const team_rate rate{2, 3};
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(
            (limits.try_acquire("a", rate, at(0)) == common::duration()));
    const auto wait = limits.try_acquire("a", rate, at(0));
    BOOST_TEST((wait > milliseconds(499) && wait < milliseconds(501)));
    BOOST_TEST(
        (limits.try_acquire("a", rate, at(0) + wait) == common::duration()));
    BOOST_TEST((limits.try_acquire("b", rate, at(0)) == common::duration()));
}

// Guards against memory that grows with the number of teams.
BOOST_AUTO_TEST_CASE(team_table_does_not_grow_beyond_its_limit)
{
    team_limits limits(2);
    const team_rate rate{2, 1};
    for (int i = 0; i < 100; ++i)
        (void)limits.try_acquire("t" + std::to_string(i), rate, at(i));
    BOOST_TEST(limits.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
