#include "bench/fleet_emulator.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace std::chrono_literals;
using bench::emulate;
using bench::emulation_settings;
using bench::trouble;

namespace
{

constexpr std::uint64_t seed = 20261204;

/// The jumping load of the sites, at which peaks ask for more places than there
/// are together with batch work.
emulation_settings jumping_load()
{
    emulation_settings settings;
    settings.seed = seed;
    settings.online.per_second = 60;
    settings.batch.jobs_per_second = 3;
    settings.length = 20s;
    return settings;
}

/// fast-trapani with some more jobs: enough places for all items over time, but
/// not in the peaks. Jobs come to entries unevenly, as callers do.
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

/// More batch work than there are places, over time.
emulation_settings overload()
{
    auto settings = tight_load();
    settings.fleet.targets = 11;
    settings.batch.jobs_per_second = 1.1;
    settings.length = 60s;
    return settings;
}

/// Share of the items in time over several loads.
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

// Guards against measurements that can't be repeated.
BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_result)
{
    const auto a = emulate(jumping_load());
    const auto b = emulate(jumping_load());
    BOOST_TEST(a.online.requests == b.online.requests);
    BOOST_TEST(a.batch.done == b.batch.done);
    BOOST_TEST(a.batch.preempted == b.batch.preempted);
    BOOST_TEST(a.online.wait_p99_ms == b.online.wait_p99_ms);
}

// Guards against comparisons of policies that met different loads.
BOOST_AUTO_TEST_CASE(policies_meet_the_same_load)
{
    auto settings = jumping_load();
    const auto a = emulate(settings);
    settings.policy.placement = "random";
    const auto b = emulate(settings);
    BOOST_TEST(a.online.requests == b.online.requests);
    BOOST_TEST(a.batch.due == b.batch.due);
}

// The load that placement by expected start answers: online traffic jumps to
// more than four times its low while batch items fill all places, and ten
// entries choose with knowledge that is some ms old. The baselines fail it.
BOOST_AUTO_TEST_CASE(online_work_starts_soon_when_traffic_jumps)
{
    // Time from arrival to start in which another entry hears that its item is
    // in the way and takes it back.
    const double max_wait_ms = static_cast<double>(
        routing::placement_settings().peer_preemption.count());
    auto settings = jumping_load();
    BOOST_TEST(emulate(settings).online.wait_p99_ms <= max_wait_ms);
    for (const auto* baseline : {"random", "two_choices"})
    {
        settings.policy.placement = baseline;
        BOOST_TEST(emulate(settings).online.wait_p99_ms > max_wait_ms);
    }
}

// The load that the reserve answers: items that take the last place of a target
// just before an online request needs it are taken back at once, and their
// connection is lost. A third fewer are taken back with the reserve, and batch
// work keeps nine tenths of its places.
BOOST_AUTO_TEST_CASE(reserve_leaves_fewer_items_to_be_taken_back)
{
    auto settings = jumping_load();
    settings.policy.reserve = 0;
    const auto without = emulate(settings);
    settings.policy.reserve = 1;
    const auto with = emulate(settings);
    BOOST_TEST(with.batch.preempted * 3 <= without.batch.preempted * 2);
    BOOST_TEST(with.use >= without.use * 0.9);
}

// The load that the order over all entries answers: the places suffice, but one
// entry has many jobs while another has none. Items in time are those that the
// operators ask for; with a turn for each entry they are not reached.
BOOST_AUTO_TEST_CASE(uneven_jobs_are_in_time_when_places_suffice)
{
    constexpr double wanted = 0.95;
    BOOST_TEST(in_time_share(tight_load(), "urgency") >= wanted);
    BOOST_TEST(in_time_share(tight_load(), "by_entry") < wanted);
}

// The load that late items answer: more is asked for than there is, and an
// order by due time works on items that end late all the same.
BOOST_AUTO_TEST_CASE(overload_does_not_make_everything_late)
{
    BOOST_TEST(in_time_share(overload(), "urgency") >
               1.2 * in_time_share(overload(), "due"));
}

// The load that recorded progress answers: all entries are lost while items
// run, and the peak that follows leaves no time to run them again.
BOOST_AUTO_TEST_CASE(lost_entries_cost_little_work)
{
    auto settings = tight_load();
    settings.troubles = {{trouble::kind::entries_down, 20s, 500ms, 8}};
    const auto with = emulate(settings);
    settings.policy.progress_after = 0ms;
    const auto without = emulate(settings);
    BOOST_TEST(with.batch.lost_events > 0);
    BOOST_TEST(with.batch.lost_events * 3 <= without.batch.lost_events);
    BOOST_TEST(with.batch.in_time_share() >= without.batch.in_time_share());
}

// The load that counting requests answers: targets are slow and don't say so.
// Their places stay taken for longer, so that they get less; the baseline that
// deals requests out in turn sends them as many as the others.
BOOST_AUTO_TEST_CASE(slow_targets_get_less)
{
    auto settings = jumping_load();
    settings.batch.jobs_per_second = 0;
    settings.online.per_second = 40;
    settings.troubles = {{trouble::kind::targets_slow, 2s, 18s, 4}};
    const auto counted = emulate(settings);
    settings.policy.placement = "round_robin";
    const auto dealt = emulate(settings);
    const auto in_time = [](const bench::emulation_result& it)
    {
        return static_cast<double>(it.online.in_time) /
               static_cast<double>(it.online.requests);
    };
    BOOST_TEST(in_time(counted) >= 0.99);
    BOOST_TEST(in_time(dealt) < 0.99);
    BOOST_TEST(counted.online.answer_p99_ms < dealt.online.answer_p99_ms);
}

// Guards against a fleet that stays degraded when what failed is back.
BOOST_AUTO_TEST_CASE(work_goes_on_after_targets_were_down)
{
    auto settings = tight_load();
    settings.batch.jobs_per_second = 0.3;
    settings.troubles = {{trouble::kind::targets_down, 5s, 3s, 4}};
    const auto it = emulate(settings);
    BOOST_TEST(it.online.failed > 0U);
    BOOST_TEST(it.batch.in_time_share() == 1);
    BOOST_TEST(it.samples.back().batch_waiting == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
