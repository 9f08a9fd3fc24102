#include "bench/engine_model.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace std::chrono_literals;
using bench::engine_model;
using bench::engine_work;
using bench::engine_work_ptr;

namespace
{

/// A target with two slots and without noise. One running request generates an
/// event every 10 ms; each of two running requests generates one every 20 ms.
struct fixture
{
    fixture()
    {
        settings.slots = 2;
        settings.step_ms = 0;
        settings.step_ms_per_request = 1;
        settings.tokens_per_event = 10;
        settings.prompt_tokens_per_ms = 100;
        settings.noise_share = 0;
    }

    engine_work_ptr add(double events, double prompt = 0)
    {
        engine_work_ptr it(new engine_work);
        it->events_left = events;
        it->prompt_tokens = prompt;
        target.add(it);
        return it;
    }

    void advance(std::chrono::milliseconds time)
    {
        for (auto n = 0ms; n < time; ++n)
            target.step(n, [this](const engine_work_ptr&) { ++completed; });
    }

    bench::fleet_settings settings;
    engine_model target{settings, 1, 0};
    unsigned completed = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(engine, fixture)

BOOST_AUTO_TEST_CASE(running_requests_slow_each_other)
{
    const auto one = add(100);
    advance(40ms);
    BOOST_TEST(one->events_made == 4, boost::test_tools::tolerance(0.01));
    const auto other = add(100);
    advance(40ms);
    BOOST_TEST(one->events_made == 6, boost::test_tools::tolerance(0.01));
    BOOST_TEST(other->events_made == 2, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(requests_start_in_the_order_of_arrival)
{
    const auto first = add(1);
    add(100);
    const auto third = add(1);
    BOOST_TEST(target.running() == 2U);
    BOOST_TEST(target.waiting() == 1U);
    advance(22ms);
    BOOST_TEST(completed == 1U);
    BOOST_TEST(target.waiting() == 0U);
    BOOST_TEST(third->events_made > 0);
}

// While a prompt is read, no request of the target generates tokens.
BOOST_AUTO_TEST_CASE(prompt_is_read_before_the_first_event)
{
    const auto one = add(100);
    const auto other = add(100, 1000);
    advance(10ms);
    BOOST_TEST(one->events_made < 0.01);
    BOOST_TEST(other->events_made < 0.01);
    advance(20ms);
    BOOST_TEST(other->events_made == 1, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(removed_request_frees_its_slot)
{
    const auto one = add(100);
    add(100);
    add(100);
    target.remove(one);
    BOOST_TEST(target.running() == 2U);
    BOOST_TEST(target.waiting() == 0U);
    BOOST_TEST(target.clear().size() == 2U);
    BOOST_TEST(target.running() == 0U);
}

BOOST_AUTO_TEST_CASE(noisy_neighbours_slow_a_target_for_their_share_of_the_time)
{
    settings.noise_share = 0.5;
    settings.noise_slowdown = 2;
    settings.noise_time = 10ms;
    const auto one = add(10000);
    advance(10000ms);
    BOOST_TEST(one->events_made == 750, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_SUITE_END()
