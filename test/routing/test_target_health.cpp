#include "routing/target_health.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace tanagertrack::routing;
using namespace std::chrono_literals;

namespace
{

struct fixture
{
    target_health health;
    common::time_point now = common::time_point(1h);

    /// Advances the time to the end of the pause and records another failure.
    /// Returns the length of the new pause.
    common::duration fail_again(target_failure reason)
    {
        now = std::max(now, health.avoided_until());
        BOOST_TEST(health.record_failure(reason, now));
        return health.avoided_until() - now;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(target_health_decisions, fixture)

BOOST_AUTO_TEST_CASE(target_without_failures_is_not_avoided)
{
    BOOST_TEST(!health.is_avoided(now));
}

// Guards against attempts at a constant rate at a target that stays down.
BOOST_AUTO_TEST_CASE(consecutive_pauses_grow_up_to_the_maximum)
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

// Guards against a long pause after a single fault, such as a lost connection,
// by which many requests failed at once.
BOOST_AUTO_TEST_CASE(failures_during_a_pause_do_not_extend_it)
{
    health.record_failure(target_failure::unreachable, now);
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(
            !health.record_failure(target_failure::unreachable, now + 1ms));
    BOOST_TEST(!health.is_avoided(now + health_settings().first_pause));
}

// Guards against a working target that is avoided because one response was
// lost.
BOOST_AUTO_TEST_CASE(target_is_avoided_after_two_unanswered_requests_in_a_row)
{
    BOOST_TEST(!health.record_failure(target_failure::unanswered, now));
    health.record_success();
    BOOST_TEST(!health.record_failure(target_failure::unanswered, now));
    BOOST_TEST(health.record_failure(target_failure::unanswered, now));
    BOOST_TEST(health.is_avoided(now));
}

BOOST_AUTO_TEST_CASE(success_ends_the_pause_and_resets_the_pause_length)
{
    fail_again(target_failure::unreachable);
    fail_again(target_failure::unreachable);
    health.record_success();
    BOOST_TEST(!health.is_avoided(now));
    BOOST_TEST((fail_again(target_failure::unreachable) ==
                health_settings().first_pause));
}

// A response of another process shows that the target no longer exists; it must
// not be tried again after a short pause.
BOOST_AUTO_TEST_CASE(replaced_target_is_avoided_for_the_replaced_pause)
{
    BOOST_TEST((fail_again(target_failure::replaced) ==
                health_settings().replaced_pause));
}

// Guards against entries that each lose requests of their own at a target that
// others know to be down.
BOOST_AUTO_TEST_CASE(two_losses_of_different_entries_start_a_pause)
{
    BOOST_TEST(!health.record_peer_loss(now));
    BOOST_TEST(health.record_peer_loss(now + 299ms));
    BOOST_TEST(health.is_avoided(now + 300ms));
}

BOOST_AUTO_TEST_CASE(own_loss_and_one_of_another_entry_start_a_pause)
{
    BOOST_TEST(!health.record_failure(target_failure::unanswered, now));
    BOOST_TEST(health.record_peer_loss(now + 100ms));

    target_health other;
    BOOST_TEST(!other.record_peer_loss(now));
    BOOST_TEST(other.record_failure(target_failure::unanswered, now + 100ms));
}

// Guards against a sound target that is avoided because single responses are
// lost now and then.
BOOST_AUTO_TEST_CASE(losses_that_are_far_apart_start_no_pause)
{
    for (int n = 0; n < 20; ++n)
    {
        BOOST_TEST(!health.record_peer_loss(now));
        now += health_settings().shared_window;
    }
}

// Guards against requests that can't be repeated and are lost at a target that
// goes down and up in turns.
BOOST_AUTO_TEST_CASE(target_is_distrusted_for_longer_after_each_pause)
{
    const health_settings settings;
    auto last = 0ms;
    for (int n = 0; n < 4; ++n)
    {
        fail_again(target_failure::unreachable);
        health.record_success();
        BOOST_TEST(!health.is_avoided(now));
        auto distrusted = 0ms;
        while (health.is_distrusted(now + distrusted))
            distrusted += 10ms;
        BOOST_TEST((distrusted > last || distrusted >= settings.max_distrust));
        last = distrusted;
        now += 1s;
    }
    now += settings.distrust_memory;
    BOOST_TEST(!health.is_distrusted(now));
    fail_again(target_failure::unreachable);
    BOOST_TEST(!health.is_distrusted(now + settings.first_pause +
                                     settings.first_distrust));
}

BOOST_AUTO_TEST_SUITE_END()
