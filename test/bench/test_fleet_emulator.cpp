#include "bench/fleet_emulator.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace std::chrono_literals;
using bench::emulate;
using bench::emulation_settings;
using bench::fault;

namespace
{

constexpr std::uint64_t seed = 20261204;

/// A load that alternates between two rates, as in the data centres. In its
/// peaks, online and batch work together need more slots than there are.
emulation_settings alternating_load()
{
    emulation_settings settings;
    settings.seed = seed;
    settings.online.per_second = 60;
    settings.batch.jobs_per_second = 3;
    settings.length = 20s;
    return settings;
}

/// The load of bench/loads/fast-trapani.yaml with some more jobs. The slots
/// suffice for all items over time, but not in the peaks. Jobs are spread
/// unevenly over the entries, as those of real callers are.
emulation_settings tight_load()
{
    emulation_settings settings;
    settings.seed = 1;
    settings.fleet.entries = 8;
    settings.fleet.targets = 12;
    settings.online.per_second = 56;
    settings.online.events = 30;
    settings.batch.jobs_per_second = 0.8;
    settings.batch.events = 208;
    settings.length = 40s;
    return settings;
}

/// More batch work than the slots can run over time.
emulation_settings overload()
{
    auto settings = tight_load();
    settings.fleet.targets = 11;
    settings.batch.jobs_per_second = 1.1;
    settings.length = 60s;
    return settings;
}

/// Returns the mean share of the items in time over several seeds.
double in_time_share(emulation_settings settings, const std::string& order)
{
    constexpr int loads = 3;
    settings.policy.order = order;
    double sum = 0;
    for (int n = 0; n < loads; ++n)
    {
        sum += emulate(settings).batch.in_time_share();
        ++settings.seed;
    }
    return sum / loads;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_emulator)

// Guards against measurements that can't be reproduced.
BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_result)
{
    const auto a = emulate(alternating_load());
    const auto b = emulate(alternating_load());
    BOOST_TEST(a.online.requests == b.online.requests);
    BOOST_TEST(a.batch.done == b.batch.done);
    BOOST_TEST(a.batch.preempted == b.batch.preempted);
    BOOST_TEST(a.online.wait_p99_ms == b.online.wait_p99_ms);
}

// Guards against comparing policies that ran under different loads.
BOOST_AUTO_TEST_CASE(load_is_the_same_for_all_policies)
{
    auto settings = alternating_load();
    const auto a = emulate(settings);
    settings.policy.placement = "random";
    const auto b = emulate(settings);
    BOOST_TEST(a.online.requests == b.online.requests);
    BOOST_TEST(a.batch.due == b.batch.due);
}

// Checks placement by expected start under the load for which it was made:
// online traffic rises to more than four times its lower rate while batch items
// use all slots, and ten entries decide with load data that is some
// milliseconds old. The baselines fail this test.
BOOST_AUTO_TEST_CASE(online_work_starts_soon_when_traffic_jumps)
{
    // Time in which another entry receives the load message and has preempted
    // its item.
    const double max_wait_ms = static_cast<double>(
        routing::placement_settings().peer_preemption.count());
    auto settings = alternating_load();
    BOOST_TEST(emulate(settings).online.wait_p99_ms <= max_wait_ms);
    for (const auto* baseline : {"random", "two_choices"})
    {
        settings.policy.placement = baseline;
        BOOST_TEST(emulate(settings).online.wait_p99_ms > max_wait_ms);
    }
}

// Checks the reserved slots under the load for which they were made: an item
// that starts in the last free slot of a target just before an online request
// needs it is preempted at once and loses its connection. With the reserve, a
// third fewer items are preempted, and at least nine tenths of the use of the
// slots remain.
BOOST_AUTO_TEST_CASE(fewer_items_are_preempted_with_reserved_slots)
{
    auto settings = alternating_load();
    settings.policy.reserve = 0;
    const auto without = emulate(settings);
    settings.policy.reserve = 1;
    const auto with = emulate(settings);
    BOOST_TEST(with.batch.preempted * 3 <= without.batch.preempted * 2);
    BOOST_TEST(with.use >= without.use * 0.9);
}

// Checks the order of items over all entries under the load for which it was
// made: the slots suffice, but one entry has many jobs while another has none.
// The wanted share of items in time is that of the operators. It is not reached
// if entries take turns.
BOOST_AUTO_TEST_CASE(uneven_jobs_are_in_time_when_slots_suffice)
{
    constexpr double wanted = 0.95;
    BOOST_TEST(in_time_share(tight_load(), "urgency") >= wanted);
    BOOST_TEST(in_time_share(tight_load(), "by_entry") < wanted);
}

// Checks that items which can't be in time come last: under overload, an order
// by due time alone spends slots on items that complete late anyway.
BOOST_AUTO_TEST_CASE(late_items_do_not_displace_others_under_overload)
{
    BOOST_TEST(in_time_share(overload(), "urgency") >
               1.2 * in_time_share(overload(), "due"));
}

// Checks recorded progress under the load for which it was made: all entries
// crash while items run, and the peak that follows leaves no time to run the
// items again from the start.
BOOST_AUTO_TEST_CASE(recorded_progress_limits_the_work_lost_with_entries)
{
    auto settings = tight_load();
    settings.faults = {{fault::kind::entries_down, 20s, 500ms, 8}};
    const auto with = emulate(settings);
    settings.policy.progress_after = 0ms;
    const auto without = emulate(settings);
    BOOST_TEST(with.batch.lost_events > 0);
    BOOST_TEST(with.batch.lost_events * 3 <= without.batch.lost_events);
    BOOST_TEST(with.batch.in_time_share() >= without.batch.in_time_share());
}

// Checks that the entries count the requests at each target: some targets are
// slow and do not report it. Their slots stay in use for longer, so that they
// get fewer requests. The round-robin baseline sends them as many as the
// others.
BOOST_AUTO_TEST_CASE(slow_targets_get_fewer_requests)
{
    auto settings = alternating_load();
    settings.batch.jobs_per_second = 0;
    settings.online.per_second = 40;
    settings.faults = {{fault::kind::targets_slow, 2s, 18s, 4}};
    const auto expected_start = emulate(settings);
    settings.policy.placement = "round_robin";
    const auto round_robin = emulate(settings);
    const auto in_time = [](const bench::emulation_result& it)
    {
        return static_cast<double>(it.online.in_time) /
               static_cast<double>(it.online.requests);
    };
    BOOST_TEST(in_time(expected_start) >= 0.99);
    BOOST_TEST(in_time(round_robin) < 0.99);
    BOOST_TEST(expected_start.online.answer_p99_ms <
               round_robin.online.answer_p99_ms);
}

// Guards against a fleet that stays degraded after the failed targets are up
// again.
BOOST_AUTO_TEST_CASE(work_continues_after_targets_were_down)
{
    auto settings = tight_load();
    settings.batch.jobs_per_second = 0.3;
    settings.faults = {{fault::kind::targets_down, 5s, 3s, 4}};
    const auto it = emulate(settings);
    BOOST_TEST(it.online.failed > 0U);
    BOOST_TEST(it.batch.in_time_share() == 1);
    BOOST_TEST(it.samples.back().batch_waiting == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
