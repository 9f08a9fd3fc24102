#include "routing/capacity_table.hpp"
#include "routing/placement.hpp"
#include "routing/target_capacity.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cmath>
#include <vector>

using namespace tanagertrack;
using namespace tanagertrack::routing;
using namespace std::chrono_literals;

namespace
{

constexpr auto start = common::time_point(1h);

/// A table of three targets of a service with a timing for each of them every
/// 100 ms.
struct table_fixture
{
    table_fixture()
    {
        for (std::uint32_t i = 0; i < 3; ++i)
            table.add_target(i, "lm", 8, 1);
    }

    /// Adds timings of 50 events with these times for each event, and
    /// refreshes the table, for this time.
    void run(const std::vector<std::chrono::milliseconds>& times,
             std::chrono::milliseconds length)
    {
        const auto end = now + length;
        while (now < end)
        {
            now += 100ms;
            for (std::uint32_t i = 0; i < times.size(); ++i)
                table.add_timing(i, {timing_kind::event, now - 50 * times[i],
                                     now, 50, 4, 1});
            table.refresh(now, [this](const capacity_change& it)
                          { changes.push_back(it); });
        }
    }

    capacity_table table;
    std::vector<capacity_change> changes;
    common::time_point now = start;
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_capacity_decisions)

// Guards against a target that is judged by too little evidence.
BOOST_FIXTURE_TEST_CASE(target_without_evidence_has_the_usual_capacity,
                        table_fixture)
{
    table.refresh(now, [](const auto&) {});
    BOOST_TEST(table.estimate_of(0).relative_time == 1);
    BOOST_TEST(table.estimate_of(0).knee == 0);
    BOOST_TEST(table.estimate_of(0).confidence == 0);
    BOOST_TEST(table.estimate_of(99).relative_time == 1);
}

// Guards against a lasting difference that is not noticed, or told more than
// once.
BOOST_FIXTURE_TEST_CASE(lasting_difference_is_noticed_and_told_once,
                        table_fixture)
{
    run({10ms, 10ms, 20ms}, 12s);
    BOOST_TEST(table.estimate_of(0).relative_time == 1);
    BOOST_TEST(std::abs(table.estimate_of(2).relative_time / 2 - 1) < 0.15);
    BOOST_TEST(table.estimate_of(2).confidence > 0.5);
    BOOST_REQUIRE(changes.size() == 1);
    BOOST_TEST(changes[0].target == 2);
}

// Guards against noise in equal targets that moves requests.
BOOST_FIXTURE_TEST_CASE(difference_within_ten_percent_counts_as_none,
                        table_fixture)
{
    run({100ms, 100ms, 108ms}, 10s);
    BOOST_TEST(table.estimate_of(2).relative_time == 1);
}

// Guards against a short disturbance that is taken for a lasting one.
BOOST_FIXTURE_TEST_CASE(disturbance_of_some_hundred_ms_changes_nothing,
                        table_fixture)
{
    run({10ms, 10ms, 10ms}, 6s);
    run({10ms, 10ms, 25ms}, 700ms);
    BOOST_TEST(table.estimate_of(2).relative_time == 1);
    run({10ms, 10ms, 10ms}, 3s);
    BOOST_TEST(table.estimate_of(2).relative_time == 1);
    BOOST_TEST(changes.empty());
}

// Guards against an entry that was frozen and takes its own pause for that of a
// target.
BOOST_FIXTURE_TEST_CASE(measurement_across_a_pause_of_the_entry_is_dropped,
                        table_fixture)
{
    run({10ms, 10ms, 10ms}, 6s);
    static_cast<void>(table.take_news(10, now));
    now += 20s;
    for (int i = 0; i < 30; ++i)
        table.add_timing(0, {timing_kind::event, now - 21s, now, 50, 4, 1});
    for (const auto& it : table.take_news(10, now))
        BOOST_TEST(it.weight == 0);
    run({10ms, 10ms, 10ms}, 500ms);
    BOOST_TEST(table.estimate_of(0).relative_time == 1);
}

// Guards against a restarted target that is judged by its former speed.
BOOST_FIXTURE_TEST_CASE(restarted_target_is_unknown, table_fixture)
{
    run({10ms, 10ms, 20ms}, 6s);
    table.add_target(2, "lm", 8, 1);
    BOOST_TEST(table.estimate_of(2).relative_time > 1);
    table.add_target(2, "lm", 8, 2);
    table.refresh(now, [](const auto&) {});
    BOOST_TEST(table.estimate_of(2).relative_time == 1);
    BOOST_TEST(table.estimate_of(2).confidence == 0);
}

// Guards against an entry that does not learn from others, and against
// opinions that confirm themselves by circulating.
BOOST_FIXTURE_TEST_CASE(news_teach_an_entry_that_has_no_evidence, table_fixture)
{
    run({10ms, 10ms, 20ms}, 6s);
    capacity_table other;
    for (std::uint32_t i = 0; i < 3; ++i)
        other.add_target(i, "lm", 8, 1);
    std::size_t evidence = 0;
    for (int i = 0; i < 80; ++i)
    {
        run({10ms, 10ms, 20ms}, 100ms);
        for (const auto& it : table.take_news(4, now))
        {
            other.add_news(it, now);
            evidence += it.weight != 0 ? 1 : 0;
        }
    }
    other.refresh(now, [](const auto&) {});
    BOOST_TEST(evidence > 0);
    BOOST_TEST(std::abs(other.estimate_of(2).relative_time / 2 - 1) < 0.15);

    // What it learned it passes on as an opinion only.
    for (const auto& it : other.take_news(10, now))
        BOOST_TEST(it.weight == 0);
}

// Guards against values of a broken or hostile message that upset the table.
BOOST_FIXTURE_TEST_CASE(extreme_news_are_bounded, table_fixture)
{
    run({10ms, 10ms, 10ms}, 6s);
    table.add_news({0, 0, 100, 4, 0, 0ms}, now);
    table.add_news({0, 1e9, UINT32_MAX, UINT32_MAX, UINT32_MAX, 0ms}, now);
    table.add_news({77, 2, 100, 4, 0, 0ms}, now);
    run({10ms, 10ms, 10ms}, 1s);
    BOOST_TEST(table.estimate_of(0).relative_time == 1);
    BOOST_TEST(table.estimate_of(0).knee == 0);
}

// Guards against requests that are sent to targets that refuse them.
BOOST_FIXTURE_TEST_CASE(refusal_tells_the_room_of_the_service, table_fixture)
{
    table.add_refusal(0, 32, now);
    table.refresh(now, [](const auto&) {});
    BOOST_TEST(table.estimate_of(0).room == 32);
    BOOST_TEST(table.estimate_of(1).room == 32);
    now += 10min;
    table.refresh(now, [](const auto&) {});
    BOOST_TEST(table.estimate_of(1).room == 0);

    // A target that refuses with free slots does so for another reason.
    table.add_refusal(0, 3, now);
    table.refresh(now, [](const auto&) {});
    BOOST_TEST(table.estimate_of(0).room == 0);
}

// Guards against knees, rooms and speeds that placement does not respect.
BOOST_AUTO_TEST_CASE(placement_uses_what_was_learned)
{
    placement chooser(placement_settings(), [](std::size_t) { return 0; });
    std::vector<target_load> loads(2);
    for (auto& it : loads)
        it.slots = 8;
    const std::vector<const target_load*> all{&loads[0], &loads[1]};
    const auto choose = [&]
    {
        return chooser.choose_online(all, start)->index;
    };

    // Of two full targets, the one whose queue is shorter in time.
    loads[0].own_online = 12;
    loads[1].own_online = 14;
    BOOST_TEST(choose() == 0);
    loads[0].capacity.relative_time = 2;
    BOOST_TEST(choose() == 1);
    BOOST_TEST((chooser.estimate_online_wait(loads[0], start).count() > 900));

    // One that would refuse the request is used last.
    loads[1].capacity.room = 15;
    BOOST_TEST(choose() == 0);

    // A knee counts while another target is below its own.
    loads[0] = target_load{.slots = 8, .own_online = 3};
    loads[1] = target_load{.slots = 8, .own_online = 6};
    loads[0].capacity.knee = 3;
    BOOST_TEST(choose() == 1);
    loads[1].own_online = 9;
    BOOST_TEST(choose() == 0);

    // Batch items leave slots beyond the knee free.
    loads[0].own_online = 0;
    loads[1].own_online = 8;
    BOOST_TEST(placement::count_batch_slots(all, 0, start) == 3);
    loads[0].own_batch = 3;
    BOOST_TEST(!chooser.choose_batch(all, 0, 0, start).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
