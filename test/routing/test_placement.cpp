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

/// A placement without random tie-breaks, and targets of eight slots.
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

    std::size_t choose_online()
    {
        return chooser.choose_online(all(), now)->index;
    }

    placement chooser{placement_settings(), [](std::size_t)
                      {
                          return 0;
                      }};
    std::vector<target_load> loads{2};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(placement_decisions, fixture)

BOOST_AUTO_TEST_CASE(no_target_is_chosen_without_candidates)
{
    BOOST_TEST(!chooser.choose_online({}, now).has_value());
    BOOST_TEST(!chooser.choose_batch({}, 0, 0, now).has_value());
}

// Guards against requests that wait at a near target while another one has free
// slots, because distance costs more than the wait.
BOOST_AUTO_TEST_CASE(target_with_a_free_slot_is_preferred_to_a_full_nearer_one)
{
    loads[0].own_online = 8;
    loads[1].proximity = distance::same_region;
    BOOST_TEST(choose_online() == 1);
    loads[0].own_online = 0;
    BOOST_TEST(choose_online() == 0);
}

// Guards against online requests that wait behind other online requests while
// batch items can be preempted.
BOOST_AUTO_TEST_CASE(slots_of_batch_items_count_as_available_to_online_requests)
{
    loads[0].own_online = 8;
    loads[1].peer_batch = 8;
    BOOST_TEST(choose_online() == 1);
    BOOST_TEST((chooser.choose_online(all(), now)->wait <= 50ms));

    // An item of this entry is preempted sooner than one of another entry.
    loads[0].own_online = 0;
    loads[0].own_batch = 8;
    BOOST_TEST(choose_online() == 0);
}

// Guards against online requests that all go to one target and wait for each
// other, because batch items make all targets look equally full.
BOOST_AUTO_TEST_CASE(
    target_with_fewer_online_requests_is_chosen_when_all_slots_are_occupied)
{
    loads[0].own_online = 6;
    loads[0].own_batch = 2;
    loads[1].own_online = 2;
    loads[1].own_batch = 6;
    BOOST_TEST(choose_online() == 1);
}

// Guards against requests sent to a target that is slow at the moment, and
// against old reports that keep requests away for good.
BOOST_AUTO_TEST_CASE(slow_target_is_avoided_while_its_report_is_fresh)
{
    loads[0].reported.slowdown = 3;
    loads[0].reported.received_at = now - 100ms;
    BOOST_TEST(choose_online() == 1);
    loads[0].reported.received_at = now - 2s;
    BOOST_TEST(choose_online() == 0);
}

// Guards against a failed target that gets all requests because it is empty,
// and against the rejection of requests while only failed targets are left.
BOOST_AUTO_TEST_CASE(failed_target_is_chosen_only_when_all_targets_have_failed)
{
    loads[0].health.record_failure(target_failure::unreachable, now);
    loads[1].own_online = 12;
    BOOST_TEST(choose_online() == 1);
    loads[1].health.record_failure(target_failure::unreachable, now);
    BOOST_TEST(choose_online() == 0);
    BOOST_TEST(!chooser.choose_batch(all(), 0, 0, now).has_value());
}

// Guards against an estimate that is too short, so that requests are accepted
// that can't start before their deadline.
BOOST_AUTO_TEST_CASE(estimated_wait_grows_with_the_online_requests_ahead)
{
    loads.resize(1);
    loads[0].own_online = 8;
    const auto first = chooser.choose_online(all(), now)->wait;
    BOOST_TEST((first > 0ms));
    loads[0].own_online = 16;
    BOOST_TEST((chooser.choose_online(all(), now)->wait > 4 * first));
}

// Guards against batch items that occupy the slot for the next online request,
// and against a reserve that leaves small targets no slot for batch items.
BOOST_AUTO_TEST_CASE(reserved_slots_are_left_free_except_on_small_targets)
{
    loads[0].own_batch = 7;
    loads[1].own_batch = 8;
    BOOST_TEST(!chooser.choose_batch(all(), 1, 0, now).has_value());
    BOOST_TEST(chooser.choose_batch(all(), 0, 0, now)->index == 0);
    loads[0].own_batch = 6;
    BOOST_TEST(chooser.choose_batch(all(), 1, 0, now)->index == 0);
    loads[1].slots = 1;
    loads[1].own_batch = 0;
    loads[0].own_batch = 7;
    BOOST_TEST(chooser.choose_batch(all(), 1, 0, now)->index == 1);
}

// Guards against entries that start items at the same moment and all choose the
// same slot, although there are as many free slots as items.
BOOST_AUTO_TEST_CASE(items_with_different_peer_reservations_get_different_slots)
{
    loads[0].key = 20;
    loads[0].own_batch = 6;
    loads[1].key = 10;
    loads[1].peer_batch = 5;
    std::vector<unsigned> items_per_target(loads.size());
    for (std::uint32_t reserved = 0; reserved < 5; ++reserved)
        ++items_per_target[chooser.choose_batch(all(), 0, reserved, now)
                               ->index];
    BOOST_TEST(items_per_target[0] == 2);
    BOOST_TEST(items_per_target[1] == 3);
    BOOST_TEST(!chooser.choose_batch(all(), 0, 5, now).has_value());
    BOOST_TEST(placement::count_batch_slots(all(), 0, now) == 5);

    // The emptiest target gets the first item, whatever the order of the
    // candidates.
    BOOST_TEST(chooser.choose_batch(all(), 0, 0, now)->index == 1);
    std::swap(loads[0], loads[1]);
    BOOST_TEST(chooser.choose_batch(all(), 0, 0, now)->index == 0);
}

BOOST_AUTO_TEST_SUITE_END()
