#include "agent/admission.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>

using namespace tanagertrack;
using namespace tanagertrack::agent;
using common::result_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct fixture
{
    fixture()
    {
        settings.slots = 4;
        settings.online_reserve = 1;
        settings.batch_stock = 2;
        settings.max_queued_online = 2;
    }

    using kind = admission_action::kind;

    /// Offers work and applies what is decided.
    void offer(std::uint64_t id, work_class what,
               milliseconds time = seconds(10))
    {
        admission_request it;
        it.id = id;
        it.kind = what;
        it.preemptible = what == work_class::batch && !once;
        it.deadline = now + time;
        it.item = "item-" + std::to_string(id);
        it.text_bytes = text;
        under_test().offer(it, now);
        decide();
    }

    void decide()
    {
        for (const auto& it : under_test().decide(now))
            last[it.id] = it;
    }

    void end(std::uint64_t id)
    {
        under_test().ended(id, now);
        decide();
    }

    bool was(std::uint64_t id, kind what, result_code code = result_code::ok)
    {
        const auto it = last.find(id);
        return it != last.end() && it->second.what == what &&
               it->second.code == code;
    }

    admission& under_test()
    {
        if (!it_)
            it_.emplace(settings);
        return *it_;
    }

    admission_settings settings;
    common::time_point now = common::time_point() + std::chrono::hours(1);
    bool once = false;
    std::size_t text = 0;
    std::map<std::uint64_t, admission_action> last;

private:
    std::optional<admission> it_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(admission_control, fixture)

// Guards against batch that takes the slots reserved for online, and against
// a stock without bound.
BOOST_AUTO_TEST_CASE(batch_leaves_the_reserve_and_bounds_the_stock)
{
    BOOST_TEST(under_test().batch_room(now) == 5u);
    for (std::uint64_t id = 1; id <= 6; ++id)
        offer(id, work_class::batch);
    BOOST_TEST(under_test().running_batch() == 3u);
    BOOST_TEST(under_test().queued_batch() == 2u);
    BOOST_TEST(was(6, kind::refuse, result_code::overloaded));
    BOOST_TEST(under_test().batch_room(now) == 0u);
    offer(7, work_class::online);
    BOOST_TEST(was(7, kind::start));
    BOOST_TEST(!was(1, kind::preempt));
}

// Guards against credit for items that are then refused, which entries would
// send again without end.
BOOST_AUTO_TEST_CASE(room_leaves_out_slots_that_online_holds)
{
    for (std::uint64_t id = 1; id <= 3; ++id)
        offer(id, work_class::online);
    BOOST_TEST(under_test().batch_room(now) == 3u);
    for (std::uint64_t id = 4; id <= 6; ++id)
        offer(id, work_class::batch);
    BOOST_TEST(!was(6, kind::refuse, result_code::overloaded));
    BOOST_TEST(under_test().batch_room(now) == 0u);
}

// Guards against online work that waits behind batch work, and against the
// loss of the item with the most text.
BOOST_AUTO_TEST_CASE(online_preempts_the_item_that_loses_least)
{
    for (std::uint64_t id = 1; id <= 3; ++id)
        offer(id, work_class::batch);
    under_test().progress(1, 100, now);
    under_test().progress(2, 10, now);
    under_test().progress(3, 50, now);
    offer(4, work_class::online);
    offer(5, work_class::online);
    BOOST_TEST(was(2, kind::preempt));
    BOOST_TEST(was(5, kind::start));
    offer(6, work_class::online);
    BOOST_TEST(was(3, kind::preempt));
    BOOST_TEST(was(6, kind::start));
}

// Guards against work that may run once only and is stopped half way.
BOOST_AUTO_TEST_CASE(work_that_may_run_once_is_not_preempted)
{
    once = true;
    for (std::uint64_t id = 1; id <= 3; ++id)
        offer(id, work_class::batch);
    offer(4, work_class::online);
    offer(5, work_class::online);
    BOOST_TEST(under_test().running_batch() == 3u);
    BOOST_TEST(!last.contains(5));
    end(1);
    BOOST_TEST(was(5, kind::start));
}

// Guards against an item that never ends because it is always the cheapest.
BOOST_AUTO_TEST_CASE(item_preempted_often_is_protected)
{
    for (std::uint32_t i = 0; i < settings.max_preemptions; ++i)
    {
        text = 1000;
        offer(2, work_class::batch);
        offer(3, work_class::batch);
        text = 0;
        offer(1, work_class::batch);
        offer(11, work_class::online);
        offer(12, work_class::online);
        BOOST_TEST(was(1, kind::preempt));
        for (const std::uint64_t id : {11, 12, 2, 3})
            end(id);
    }
    text = 1000;
    offer(2, work_class::batch);
    offer(3, work_class::batch);
    text = 0;
    offer(1, work_class::batch);
    offer(11, work_class::online);
    offer(12, work_class::online);
    BOOST_TEST(was(1, kind::start));
    // Nothing else is left: the protected item goes too.
    offer(13, work_class::online);
    offer(14, work_class::online);
    BOOST_TEST(was(1, kind::preempt));
}

// Guards against requests that wait without hope, and against a queue
// without bound.
BOOST_AUTO_TEST_CASE(online_queue_is_bounded_by_size_and_deadline)
{
    for (std::uint64_t id = 1; id <= 4; ++id)
        offer(id, work_class::online);
    offer(5, work_class::online, milliseconds(20));
    offer(6, work_class::online);
    offer(7, work_class::online);
    BOOST_TEST(was(7, kind::refuse, result_code::overloaded));
    BOOST_TEST((under_test().next_deadline() == now + milliseconds(20)));
    now += milliseconds(20);
    decide();
    BOOST_TEST(was(5, kind::refuse, result_code::deadline_before_start));

    // Requests take 4 s here, so a slot is freed each second.
    now += seconds(4);
    end(1);
    BOOST_TEST(was(6, kind::start));
    offer(8, work_class::online, milliseconds(500));
    BOOST_TEST(was(8, kind::refuse, result_code::overloaded));
    offer(9, work_class::online, milliseconds(2000));
    BOOST_TEST(!last.contains(9));
}

// Guards against a few long items that hold all batch slots while short ones
// wait.
BOOST_AUTO_TEST_CASE(long_items_get_a_bounded_share)
{
    settings.slots = 9;
    for (std::uint64_t id = 1; id <= 20; ++id)
    {
        offer(id, work_class::batch);
        now += milliseconds(20);
        end(id);
    }
    for (std::uint64_t id = 101; id <= 108; ++id)
        offer(id, work_class::batch);
    now += seconds(1);
    decide();
    BOOST_TEST(under_test().running_batch() == 8u);

    // No short item waits: nothing is stopped. Then each one gets a slot,
    // down to a quarter of the slots for the long ones.
    offer(201, work_class::batch);
    BOOST_TEST(was(201, kind::start));
    for (std::uint64_t id = 202; id <= 207; ++id)
        offer(id, work_class::batch);
    BOOST_TEST(was(206, kind::start));
    BOOST_TEST(!last.contains(207));
    const auto stopped = std::ranges::count_if(
        last, [](const auto& it) { return it.second.what == kind::preempt; });
    BOOST_TEST(stopped == 6);
}

// Guards against the policy leaking into the baseline.
BOOST_AUTO_TEST_CASE(fifo_keeps_the_order_of_arrival)
{
    settings.policy = admission_policy::fifo;
    for (std::uint64_t id = 1; id <= 5; ++id)
        offer(id, work_class::batch);
    offer(6, work_class::online);
    BOOST_TEST(under_test().running_batch() == 4u);
    BOOST_TEST(under_test().queued_batch() == 1u);
    BOOST_TEST(under_test().queued_online() == 1u);
    BOOST_TEST(under_test().batch_room(now) == 1u);
    end(1);
    BOOST_TEST(was(5, kind::start));
    BOOST_TEST(!last.contains(6));
    end(2);
    BOOST_TEST(was(6, kind::start));
}

// Guards against batch that keeps its slots while the target is slowed, and
// against a limit that never comes back.
BOOST_AUTO_TEST_CASE(limit_follows_the_speed_of_the_target)
{
    batch_limit limit(14, {});
    const auto run = [&](double step_ms, int n)
    {
        for (int i = 0; i < n; ++i)
        {
            now += milliseconds(20);
            limit.step(step_ms / 1000, true, now);
        }
    };
    run(4, 100);
    BOOST_TEST(limit.current(now) == 14u);
    run(32, 60);
    BOOST_TEST(limit.current(now) < 8u);
    run(4, 600);
    BOOST_TEST(limit.current(now) == 14u);
}

// Guards against slots that are counted wrong after any sequence of events:
// never more running than slots, online never queued while batch that can be
// preempted runs.
BOOST_AUTO_TEST_CASE(slots_hold_for_random_sequences)
{
    const auto seed = std::random_device{}();
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    std::vector<std::uint64_t> running;
    for (std::uint64_t id = 1; id <= 5000; ++id)
    {
        now += milliseconds(random() % 5);
        text = random() % 100;
        last.clear();
        if (random() % 2 == 0 && !running.empty())
            end(running[random() % running.size()]);
        else
            offer(id,
                  random() % 3 == 0 ? work_class::online : work_class::batch,
                  milliseconds(1 + random() % 50));
        for (const auto& [other, it] : last)
        {
            std::erase(running, other);
            if (it.what == kind::start)
                running.push_back(other);
        }
        const auto& it = under_test();
        const auto total =
            under_test().running_batch() + under_test().running_online();
        BOOST_TEST_REQUIRE(total <= settings.slots);
        BOOST_TEST_REQUIRE(
            (it.queued_online() == 0 || under_test().running_batch() == 0));
        BOOST_TEST_REQUIRE(it.queued_online() <= settings.max_queued_online);
        BOOST_TEST_REQUIRE(it.queued_batch() <= settings.batch_stock);
    }
}

BOOST_AUTO_TEST_SUITE_END()
