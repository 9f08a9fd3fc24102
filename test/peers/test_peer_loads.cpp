#include "peers/peer_loads.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace tanagertrack;
using namespace std::chrono_literals;
using peers::peer_loads;

namespace
{

constexpr std::uint32_t target = 7;

peers::LoadMessage make_message(const std::string& member,
                                std::uint64_t sequence, std::uint32_t online,
                                std::uint32_t batch)
{
    peers::LoadMessage it;
    it.set_member(member);
    it.set_sequence(sequence);
    it.set_store_age_ms(20);
    auto& use = *it.add_uses();
    use.set_target(target);
    use.set_online(online);
    use.set_batch(batch);
    return it;
}

void add_waiting(peers::LoadMessage& message, const std::string& service,
                 std::int32_t slack_ms, std::uint32_t count, bool late = false)
{
    auto& it = *message.add_waiting();
    it.set_service(peers::service_key(service));
    it.set_slack_ms(slack_ms);
    it.set_late(late);
    it.set_count(count);
}

const common::time_point start = common::clock::now();

} // namespace

BOOST_AUTO_TEST_SUITE(peer_loads_suite)

BOOST_AUTO_TEST_CASE(requests_of_all_peers_are_summed)
{
    peer_loads loads;
    BOOST_TEST(loads.apply_message(make_message("a", 1, 2, 1), start));
    BOOST_TEST(loads.apply_message(make_message("b", 1, 3, 0), start));
    BOOST_TEST(loads.use_of(target).online == 5);
    BOOST_TEST(loads.use_of(target).batch == 1);
    BOOST_TEST(loads.use_of(8).online == 0);

    // A later message replaces the earlier one.
    BOOST_TEST(loads.apply_message(make_message("a", 2, 0, 0), start));
    BOOST_TEST(loads.use_of(target).online == 3);
}

// Guards against totals that differ from the sum of the peers' last messages:
// when a message names a target twice, or when a peer without requests is
// removed.
BOOST_AUTO_TEST_CASE(repeated_uses_and_empty_messages_keep_totals_correct)
{
    peer_loads loads;
    auto twice = make_message("a", 1, 2, 1);
    *twice.add_uses() = twice.uses(0);
    loads.apply_message(twice, start);
    BOOST_TEST(loads.use_of(target).online == 2);
    for (const auto* member : {"a", "b", "c"})
        loads.apply_message(make_message(member, 2, 0, 0), start);
    for (const auto* member : {"a", "b", "c"})
        loads.remove(member);
    BOOST_TEST(loads.use_of(target).online == 0);
    loads.apply_message(make_message("b", 1, 4, 0), start);
    BOOST_TEST(loads.use_of(target).online == 4);
}

// Guards against applying an old state after a newer one: datagrams may arrive
// in another order than that in which they were sent.
BOOST_AUTO_TEST_CASE(message_that_is_not_newer_than_the_last_one_is_ignored)
{
    peer_loads loads;
    loads.apply_message(make_message("a", 2, 1, 0), start);
    BOOST_TEST(!loads.apply_message(make_message("a", 1, 5, 0), start));
    BOOST_TEST(!loads.apply_message(make_message("a", 2, 5, 0), start));
    BOOST_TEST(loads.use_of(target).online == 1);
}

// Guards against slots that count as occupied forever because an entry has
// stopped.
BOOST_AUTO_TEST_CASE(peer_expires_when_it_sends_no_messages)
{
    peer_loads loads;
    loads.apply_message(make_message("a", 1, 2, 0), start);
    BOOST_TEST(!loads.expire(start + peer_loads::lifetime));
    BOOST_TEST(loads.use_of(target).online == 2);
    BOOST_TEST(loads.expire(start + peer_loads::lifetime + 1ms));
    BOOST_TEST(loads.use_of(target).online == 0);
    BOOST_TEST(loads.size() == 0);

    // A peer that sends messages again is added again.
    BOOST_TEST(loads.apply_message(make_message("a", 2, 1, 0), start + 5s));
    loads.remove("a");
    loads.remove("a");
    BOOST_TEST(loads.size() == 0);
}

// Guards against all entries, or none, preempting an item when a target has one
// request too many: exactly one of them must free the slot.
BOOST_AUTO_TEST_CASE(all_entries_compute_the_same_preemption_order)
{
    const std::string names[] = {"a", "b", "c"};
    std::uint32_t first = 0;
    std::uint32_t sum = 0;
    for (const auto& self : names)
    {
        peer_loads loads;
        for (const auto& it : names)
        {
            if (it != self)
                loads.apply_message(make_message(it, 1, 0, 1), start);
        }
        const auto preempted_first = loads.items_preempted_first(target, self);
        first += preempted_first == 0 ? 1 : 0;
        sum += preempted_first;
    }
    BOOST_TEST(first == 1);
    BOOST_TEST(sum == 0 + 1 + 2);
}

// Guards against an entry that starts items with much time left while more
// urgent items of another entry wait.
BOOST_AUTO_TEST_CASE(more_urgent_items_of_peers_are_counted_as_ahead)
{
    peer_loads loads;
    auto a = make_message("a", 1, 0, 0);
    add_waiting(a, "s", 2000, 3);
    add_waiting(a, "s", 9000, 5);
    add_waiting(a, "other", 1000, 7);
    loads.apply_message(a, start);
    auto b = make_message("b", 1, 0, 0);
    add_waiting(b, "s", 500, 2, true);
    loads.apply_message(b, start);

    const auto items_ahead =
        [&](std::chrono::milliseconds due, bool late = false)
    {
        return loads.items_ahead("s", {late, start + due}, "c");
    };
    BOOST_TEST(items_ahead(1s) == 0);
    BOOST_TEST(items_ahead(5s) == 3);
    BOOST_TEST(items_ahead(10s) == 8);

    // Late items come after all items that are not late.
    BOOST_TEST(items_ahead(100ms, true) == 8);
    BOOST_TEST(items_ahead(1s, true) == 10);

    // Items of an expired entry are not counted.
    loads.expire(start + peer_loads::lifetime + 1ms);
    BOOST_TEST(items_ahead(10s) == 0);
}

// Guards against two entries with items of equal urgency that both start one,
// or that both wait for the other.
BOOST_AUTO_TEST_CASE(items_of_equal_urgency_have_one_order_in_all_entries)
{
    std::uint32_t sum = 0;
    for (const auto& [self, other] : {std::pair("a", "b"), {"b", "a"}})
    {
        peer_loads loads;
        auto it = make_message(other, 1, 0, 0);
        add_waiting(it, "s", 2000, 1);
        loads.apply_message(it, start);
        sum += loads.items_ahead("s", {false, start + 2s}, self);
        BOOST_TEST(loads.entries_ahead("s", self) <= 1);
        BOOST_TEST(loads.entries_ahead("other", self) == 0);
    }
    BOOST_TEST(sum == 1);
}

BOOST_AUTO_TEST_CASE(store_contact_is_computed_from_the_age_in_the_message)
{
    peer_loads loads;
    BOOST_TEST(!loads.last_store_contact().has_value());
    BOOST_TEST(!loads.store_contact("a").has_value());
    loads.apply_message(make_message("a", 1, 0, 0), start);
    loads.apply_message(make_message("b", 1, 0, 0), start + 100ms);
    BOOST_TEST((*loads.store_contact("a") == start - 20ms));
    BOOST_TEST((*loads.last_store_contact() == start + 80ms));
}

BOOST_AUTO_TEST_SUITE_END()
