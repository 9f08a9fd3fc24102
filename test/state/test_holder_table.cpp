#include "state/holder_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace tanagertrack::state;
using namespace std::chrono_literals;

namespace
{

using partition_list = std::vector<std::uint32_t>;

proto::ControlRecord heartbeat(const std::string& entry, std::uint64_t beat,
                               const std::vector<std::uint64_t>& claims,
                               bool leaving = false)
{
    proto::ControlRecord record;
    auto* out = record.mutable_heartbeat();
    out->set_entry(entry);
    out->set_address("127.0.0.1");
    out->set_port(7000);
    out->set_beat(beat);
    out->set_leaving(leaving);
    for (std::uint32_t i = 0; i < claims.size(); ++i)
    {
        if (claims[i] == 0)
            continue;
        auto* held = out->add_partitions();
        held->set_partition(i);
        held->set_claim_offset(claims[i]);
        held->set_checkpoint_offset(claims[i] + 1);
    }
    return record;
}

struct two_partitions
{
    partition_list due(common::duration after)
    {
        return table.due_for_takeover(start + after, 3s);
    }

    common::time_point start{100s};
    holder_table table{2, start};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(holders, two_partitions)

BOOST_AUTO_TEST_CASE(a_silent_partition_is_due_after_the_lease)
{
    BOOST_TEST(due(2999ms).empty());
    BOOST_TEST((due(3s) == partition_list{0, 1}));
    table.apply(heartbeat("a", 1, {5, 0}), start + 2s);
    BOOST_TEST((due(3s) == partition_list{1}));
    BOOST_TEST(table.is_held(0, start + 4s, 3s));
    BOOST_TEST(!table.is_held(1, start, 3s));
    BOOST_TEST((due(5s) == partition_list{0, 1}));
    BOOST_TEST(table.holder(0).checkpoint_offset == 6);
    BOOST_TEST(table.holder(0).address.port == 7000);
}

// Guards against a replaced holder that keeps its successor from being seen.
BOOST_AUTO_TEST_CASE(a_lower_claim_and_a_resend_are_ignored)
{
    table.apply(heartbeat("b", 1, {9, 9}), start + 1s);
    table.apply(heartbeat("a", 7, {5, 10}), start + 2s);
    BOOST_TEST(table.holder(0).entry == "b");
    BOOST_TEST(table.holder(1).entry == "a");
    table.apply(heartbeat("b", 1, {9, 9}), start + 3s);
    BOOST_TEST((due(4s) == partition_list{0}));
}

BOOST_AUTO_TEST_CASE(a_partition_that_is_no_longer_named_is_released)
{
    table.apply(heartbeat("a", 1, {5, 6}), start);
    table.apply(heartbeat("a", 2, {5, 0}, true), start);
    BOOST_TEST((due(0s) == partition_list{1}));
    BOOST_TEST(table.entries().at("a").leaving);
    BOOST_TEST(table.entries().at("a").held == 1);
    // An older heartbeat that comes late does not undo this.
    table.apply(heartbeat("a", 1, {5, 6}), start);
    BOOST_TEST((due(0s) == partition_list{1}));
    table.apply(heartbeat("b", 1, {0, 8}), start);
    BOOST_TEST(due(0s).empty());
}

BOOST_AUTO_TEST_CASE(shares_count_live_entries_that_stay)
{
    BOOST_TEST(table.fair_share(start, 3s) == 2);
    table.apply(heartbeat("a", 1, {5, 6}), start);
    table.apply(heartbeat("b", 1, {}), start + 1s);
    BOOST_TEST(table.fair_share(start + 1s, 3s) == 1);
    BOOST_TEST(table.live_entries(start + 3s, 3s) == 1);
    table.apply(heartbeat("b", 2, {}, true), start + 1s);
    BOOST_TEST(table.live_entries(start + 1s, 3s) == 1);
}

BOOST_AUTO_TEST_CASE(entries_are_bounded)
{
    holder_table small(1, start, 2);
    small.apply(heartbeat("a", 1, {}), start);
    small.apply(heartbeat("b", 1, {}), start + 1s);
    small.apply(heartbeat("c", 1, {}), start + 2s);
    BOOST_TEST(small.entries().size() == 2);
    BOOST_TEST(!small.entries().contains("a"));
    // Partitions and claims that can't be are ignored.
    small.apply(heartbeat("b", 2, {0, 5}), start);
    BOOST_TEST(small.holder(0).entry.empty());
}

BOOST_AUTO_TEST_SUITE_END()
