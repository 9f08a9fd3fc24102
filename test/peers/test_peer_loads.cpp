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

void add_waiting(peers::LoadMessage& to, const std::string& service,
                 std::int32_t slack_ms, std::uint32_t count, bool late = false)
{
    auto& it = *to.add_waiting();
    it.set_service(peers::service_key(service));
    it.set_slack_ms(slack_ms);
    it.set_late(late);
    it.set_count(count);
}

const common::time_point start = common::clock::now();

} // namespace

BOOST_AUTO_TEST_SUITE(peer_loads_suite)

BOOST_AUTO_TEST_CASE(uses_of_all_peers_add_up)
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

// Guards against a sum that drifts from what the peers say.
BOOST_AUTO_TEST_CASE(odd_messages_leave_no_trace)
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

// Datagrams may overtake each other.
BOOST_AUTO_TEST_CASE(message_that_was_overtaken_is_ignored)
{
    peer_loads loads;
    loads.apply_message(make_message("a", 2, 1, 0), start);
    BOOST_TEST(!loads.apply_message(make_message("a", 1, 5, 0), start));
    BOOST_TEST(!loads.apply_message(make_message("a", 2, 5, 0), start));
    BOOST_TEST(loads.use_of(target).online == 1);
}

// Guards against places that seem taken for ever by an entry that is gone.
BOOST_AUTO_TEST_CASE(silent_peers_expire)
{
    peer_loads loads;
    loads.apply_message(make_message("a", 1, 2, 0), start);
    BOOST_TEST(!loads.expire(start + peer_loads::lifetime));
    BOOST_TEST(loads.use_of(target).online == 2);
    BOOST_TEST(loads.expire(start + peer_loads::lifetime + 1ms));
    BOOST_TEST(loads.use_of(target).online == 0);
    BOOST_TEST(loads.size() == 0);

    // A peer that comes back is heard again.
    BOOST_TEST(loads.apply_message(make_message("a", 2, 1, 0), start + 5s));
    loads.remove("a");
    loads.remove("a");
    BOOST_TEST(loads.size() == 0);
}

// Guards against all entries, or none, taking an item back when a target has
// one request too many: each place is given up by exactly one of them.
BOOST_AUTO_TEST_CASE(entries_agree_on_who_gives_way)
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
        const auto before = loads.items_preempted_first(target, self);
        first += before == 0 ? 1 : 0;
        sum += before;
    }
    BOOST_TEST(first == 1);
    BOOST_TEST(sum == 0 + 1 + 2);
}

// Guards against an entry whose urgent items wait while another one, with more
// turns than work, starts items that have time.
BOOST_AUTO_TEST_CASE(more_urgent_items_of_others_come_before)
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

    const auto before = [&](std::chrono::milliseconds due, bool late = false)
    {
        return loads.items_ahead("s", {late, start + due}, "c");
    };
    BOOST_TEST(before(1s) == 0);
    BOOST_TEST(before(5s) == 3);
    BOOST_TEST(before(10s) == 8);

    // What is late comes behind all that is not.
    BOOST_TEST(before(100ms, true) == 8);
    BOOST_TEST(before(1s, true) == 10);

    // An entry that is not heard holds nobody up.
    loads.expire(start + peer_loads::lifetime + 1ms);
    BOOST_TEST(before(10s) == 0);
}

// Guards against two entries with items of the same urgency that both start
// them, or that both leave it to the other.
BOOST_AUTO_TEST_CASE(items_of_the_same_urgency_have_one_order)
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

BOOST_AUTO_TEST_CASE(contact_with_the_store_is_that_which_peers_told)
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
