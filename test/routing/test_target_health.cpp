#include "routing/target_health.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace tanagertrack::routing;
using namespace std::chrono_literals;

namespace
{

struct fixture
{
    target_health it;
    common::time_point now = common::time_point(1h);

    /// Lets the pause pass and notes another failure. Returns the new pause.
    common::duration fail_again(target_failure why)
    {
        now = std::max(now, it.avoided_until());
        BOOST_TEST(it.record_failure(why, now));
        return it.avoided_until() - now;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(health_of_a_target, fixture)

BOOST_AUTO_TEST_CASE(new_target_is_used)
{
    BOOST_TEST(!it.is_avoided(now));
}

// Guards against tries at a dead target at a constant rate.
BOOST_AUTO_TEST_CASE(pauses_grow_up_to_a_bound)
{
    const health_settings settings;
    auto last = fail_again(target_failure::unreachable);
    BOOST_TEST((last == settings.first_pause));
    for (int n = 0; n < 10; ++n)
    {
        const auto next = fail_again(target_failure::unreachable);
        BOOST_TEST((next >= last));
        last = next;
    }
    BOOST_TEST((last == settings.max_pause));
}

// Guards against a long pause after one loss that ended many requests.
BOOST_AUTO_TEST_CASE(failures_in_a_pause_count_once)
{
    it.record_failure(target_failure::unreachable, now);
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(!it.record_failure(target_failure::unreachable, now + 1ms));
    BOOST_TEST(!it.is_avoided(now + health_settings().first_pause));
}

// Guards against a sound target that is avoided because an answer got lost.
BOOST_AUTO_TEST_CASE(single_unanswered_request_is_chance)
{
    BOOST_TEST(!it.record_failure(target_failure::unanswered, now));
    it.record_success();
    BOOST_TEST(!it.record_failure(target_failure::unanswered, now));
    BOOST_TEST(it.record_failure(target_failure::unanswered, now));
    BOOST_TEST(it.is_avoided(now));
}

BOOST_AUTO_TEST_CASE(answer_clears_the_past)
{
    fail_again(target_failure::unreachable);
    fail_again(target_failure::unreachable);
    it.record_success();
    BOOST_TEST(!it.is_avoided(now));
    BOOST_TEST((fail_again(target_failure::unreachable) ==
                health_settings().first_pause));
}

// A process at another's address shows that the one that was meant is gone.
BOOST_AUTO_TEST_CASE(replaced_target_pauses_longest_at_once)
{
    BOOST_TEST((fail_again(target_failure::replaced) ==
                health_settings().replaced_pause));
}

BOOST_AUTO_TEST_SUITE_END()
