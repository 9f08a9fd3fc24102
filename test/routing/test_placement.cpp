#include "routing/placement.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

using namespace tanagertrack;
using namespace tanagertrack::routing;
using namespace std::chrono_literals;

namespace
{

const auto now = common::time_point(1h);

/// A placement without ties, and targets of eight places.
struct fixture
{
    fixture()
    {
        for (auto& it : loads)
            it.slots = 8;
    }

    std::vector<const target_load*> all() const
    {
        std::vector<const target_load*> out;
        for (const auto& it : loads)
            out.push_back(&it);
        return out;
    }

    std::size_t online()
    {
        return place.choose_online(all(), now)->index;
    }

    placement place{placement_settings(), [](std::size_t)
                    {
                        return 0;
                    }};
    std::vector<target_load> loads{2};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(placing, fixture)

BOOST_AUTO_TEST_CASE(nothing_is_chosen_of_nothing)
{
    BOOST_TEST(!place.choose_online({}, now).has_value());
    BOOST_TEST(!place.choose_batch({}, 0, 0, now).has_value());
}

// Guards against requests that wait behind others while places are free, and
// against distance that counts for more than a wait.
BOOST_AUTO_TEST_CASE(free_place_goes_before_a_near_target)
{
    loads[0].own_online = 8;
    loads[1].proximity = distance::same_region;
    BOOST_TEST(online() == 1);
    loads[0].own_online = 0;
    BOOST_TEST(online() == 0);
}

// Guards against an online request that waits for batch work.
BOOST_AUTO_TEST_CASE(batch_items_are_places_that_can_be_had)
{
    loads[0].own_online = 8;
    loads[1].peer_batch = 8;
    BOOST_TEST(online() == 1);
    BOOST_TEST((place.choose_online(all(), now)->wait <= 50ms));

    // An own item leaves sooner than that of another entry.
    loads[0].own_online = 0;
    loads[0].own_batch = 8;
    BOOST_TEST(online() == 0);
}

// Guards against online requests that gather on one target because batch items
// make all targets look alike, until they wait for each other.
BOOST_AUTO_TEST_CASE(online_requests_spread_over_targets_full_of_batch)
{
    loads[0].own_online = 6;
    loads[0].own_batch = 2;
    loads[1].own_online = 2;
    loads[1].own_batch = 6;
    BOOST_TEST(online() == 1);
}

// Guards against work on a target whose neighbours slow it down.
BOOST_AUTO_TEST_CASE(slow_target_is_avoided_while_its_report_is_fresh)
{
    loads[0].reported.slowdown = 3;
    loads[0].reported.received_at = now - 100ms;
    BOOST_TEST(online() == 1);
    loads[0].reported.received_at = now - 2s;
    BOOST_TEST(online() == 0);
}

// Guards against a target that failed and gets all work because it is empty,
// and against a refusal while only such targets are left.
BOOST_AUTO_TEST_CASE(failed_target_is_the_last_choice)
{
    loads[0].health.record_failure(target_failure::unreachable, now);
    loads[1].own_online = 12;
    BOOST_TEST(online() == 1);
    loads[1].health.record_failure(target_failure::unreachable, now);
    BOOST_TEST(online() == 0);
    BOOST_TEST(!place.choose_batch(all(), 0, 0, now).has_value());
}

// Guards against a wait that is told as shorter than it is, so that a request
// is not refused in time.
BOOST_AUTO_TEST_CASE(wait_grows_with_what_is_ahead)
{
    loads.resize(1);
    loads[0].own_online = 8;
    const auto first = place.choose_online(all(), now)->wait;
    BOOST_TEST((first > 0ms));
    loads[0].own_online = 16;
    BOOST_TEST((place.choose_online(all(), now)->wait > 4 * first));
}

// Guards against items that take the place which the next online request needs,
// and against small targets that get no items at all.
BOOST_AUTO_TEST_CASE(reserve_is_left_free_but_not_on_small_targets)
{
    loads[0].own_batch = 7;
    loads[1].own_batch = 8;
    BOOST_TEST(!place.choose_batch(all(), 1, 0, now).has_value());
    BOOST_TEST(place.choose_batch(all(), 0, 0, now)->index == 0);
    loads[0].own_batch = 6;
    BOOST_TEST(place.choose_batch(all(), 1, 0, now)->index == 0);
    loads[1].slots = 1;
    loads[1].own_batch = 0;
    loads[0].own_batch = 7;
    BOOST_TEST(place.choose_batch(all(), 1, 0, now)->index == 1);
}

// Guards against entries that start items at the same moment and all choose
// the same place, though there are as many places as items.
BOOST_AUTO_TEST_CASE(items_with_different_turns_get_different_places)
{
    loads[0].key = 20;
    loads[0].own_batch = 6;
    loads[1].key = 10;
    loads[1].peer_batch = 5;
    std::vector<unsigned> given(loads.size());
    for (std::uint32_t reserved = 0; reserved < 5; ++reserved)
        ++given[place.choose_batch(all(), 0, reserved, now)->index];
    BOOST_TEST(given[0] == 2);
    BOOST_TEST(given[1] == 3);
    BOOST_TEST(!place.choose_batch(all(), 0, 5, now).has_value());
    BOOST_TEST(placement::count_batch_slots(all(), 0, now) == 5);

    // The emptiest target gets the first item, whoever computes it.
    BOOST_TEST(place.choose_batch(all(), 0, 0, now)->index == 1);
    std::swap(loads[0], loads[1]);
    BOOST_TEST(place.choose_batch(all(), 0, 0, now)->index == 0);
}

BOOST_AUTO_TEST_SUITE_END()
