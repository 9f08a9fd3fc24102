#include "state/attempt_machine.hpp"
#include "state/connection_machine.hpp"
#include "state/item_machine.hpp"
#include "state/lease_machine.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace tanagertrack::state;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(machines)

// Guards against dispatch by a holder that others think is gone.
BOOST_AUTO_TEST_CASE(a_lease_runs_out_without_own_heartbeats)
{
    const common::time_point start{100s};
    lease_machine lease(3s);
    BOOST_CHECK(lease.claim() == lease_action::append_claim);
    BOOST_CHECK(lease.claim() == lease_action::nothing);
    BOOST_CHECK(lease.claim_read(true, start) == lease_action::start_dispatch);
    BOOST_TEST(lease.may_dispatch(start + 2s));
    // The thread was paused and has not called tick.
    BOOST_TEST(!lease.may_dispatch(start + 3s));
    BOOST_CHECK(lease.heartbeat_read(start + 2s, start + 2s) ==
                lease_action::nothing);
    BOOST_CHECK(lease.tick(start + 4s) == lease_action::nothing);
    BOOST_CHECK(lease.tick(start + 5s) == lease_action::stop_dispatch);
    BOOST_CHECK(lease.state() == lease_state::suspended);
    // A heartbeat that took longer than the lease renews nothing.
    BOOST_CHECK(lease.heartbeat_read(start + 3s, start + 6s) ==
                lease_action::nothing);
    BOOST_CHECK(lease.heartbeat_read(start + 5s, start + 6s) ==
                lease_action::start_dispatch);
    BOOST_CHECK(lease.replaced() == lease_action::drop);
    BOOST_TEST(!lease.may_dispatch(start + 6s));
    lease.dropped();
    BOOST_CHECK(lease.state() == lease_state::none);
}

BOOST_AUTO_TEST_CASE(a_lease_is_released_or_lost_in_a_race)
{
    lease_machine lease(3s);
    lease.claim();
    lease.claim_read(false, {});
    BOOST_CHECK(lease.state() == lease_state::none);
    BOOST_CHECK(lease.release() == lease_action::nothing);
    lease.claim();
    lease.claim_read(true, {});
    BOOST_CHECK(lease.release() == lease_action::stop_and_release);
    BOOST_TEST(!lease.may_dispatch({}));
    BOOST_CHECK(lease.release_read() == lease_action::drop);
    BOOST_CHECK(lease.replaced() == lease_action::nothing);
}

BOOST_AUTO_TEST_CASE(a_repeatable_item_is_tried_until_the_limit)
{
    item_machine item({.max_attempts = 2});
    BOOST_CHECK(item.start() == item_action::dispatch);
    BOOST_CHECK(item.attempt_ended(attempt_end::preempted) ==
                item_action::requeue);
    item.start();
    BOOST_CHECK(item.attempt_ended(attempt_end::not_run) ==
                item_action::requeue);
    item.start();
    BOOST_CHECK(item.attempt_ended(attempt_end::failed) ==
                item_action::requeue);
    item.start();
    BOOST_TEST(item.attempts() == 2);
    BOOST_CHECK(item.attempt_ended(attempt_end::failed) ==
                item_action::record_failure);
    BOOST_CHECK(item.cancel() == item_action::nothing);
    BOOST_CHECK(item.result_read() == item_action::remove);
    BOOST_CHECK(item.start() == item_action::nothing);
}

// Guards against a second run of work that may not be repeated.
BOOST_AUTO_TEST_CASE(an_item_that_may_not_be_repeated_needs_its_intent)
{
    item_machine item({.not_repeatable = true});
    BOOST_CHECK(item.start() == item_action::append_intent);
    BOOST_CHECK(item.start() == item_action::nothing);
    BOOST_CHECK(item.intent_read(intent_verdict::valid) ==
                item_action::dispatch);
    // Certainly not run: the same intent covers another attempt.
    BOOST_CHECK(item.attempt_ended(attempt_end::not_run) ==
                item_action::requeue);
    BOOST_CHECK(item.start() == item_action::dispatch);
    BOOST_CHECK(item.attempt_ended(attempt_end::failed) ==
                item_action::record_unknown);

    item_machine preempted({.not_repeatable = true});
    preempted.start();
    preempted.intent_read(intent_verdict::valid);
    BOOST_CHECK(preempted.attempt_ended(attempt_end::preempted) ==
                item_action::record_unknown);

    item_machine taken_over({.not_repeatable = true, .has_intent = true});
    BOOST_CHECK(taken_over.start() == item_action::record_unknown);

    item_machine raced({.not_repeatable = true});
    raced.start();
    BOOST_CHECK(raced.intent_read(intent_verdict::repeated) ==
                item_action::record_unknown);
    item_machine stopped({.not_repeatable = true});
    stopped.start();
    BOOST_CHECK(stopped.intent_read(intent_verdict::cancelled) ==
                item_action::remove);
}

BOOST_AUTO_TEST_CASE(a_cancelled_item_is_reset_but_a_result_is_kept)
{
    item_machine running({});
    running.start();
    BOOST_CHECK(running.cancel() == item_action::reset_attempt);
    BOOST_CHECK(running.attempt_ended(attempt_end::succeeded) ==
                item_action::nothing);
    item_machine finished({});
    finished.start();
    BOOST_CHECK(finished.attempt_ended(attempt_end::succeeded) ==
                item_action::record_success);
    BOOST_CHECK(finished.cancel() == item_action::nothing);
    BOOST_CHECK(finished.result_read() == item_action::remove);
}

// Guards against two reports of one attempt, and against "not run" that is
// not true.
BOOST_AUTO_TEST_CASE(an_attempt_reports_one_end)
{
    attempt_machine unsent;
    BOOST_CHECK(unsent.lost() == attempt_action::report_refused);
    BOOST_TEST(!unsent.may_have_run());
    attempt_machine lost;
    lost.sent();
    BOOST_CHECK(lost.lost() == attempt_action::report_failed);
    BOOST_TEST(lost.may_have_run());
    attempt_machine done;
    done.sent();
    BOOST_CHECK(done.accepted() == attempt_action::report_accepted);
    BOOST_CHECK(done.text() == attempt_action::report_text);
    BOOST_CHECK(done.finished() == attempt_action::report_finished);
    BOOST_CHECK(done.lost() == attempt_action::nothing);
    BOOST_CHECK(done.cancel() == attempt_action::nothing);
    attempt_machine odd;
    odd.accepted();
    BOOST_TEST(odd.may_have_run());
    BOOST_CHECK(odd.refused() == attempt_action::report_failed);
    BOOST_TEST(odd.may_have_run());
    attempt_machine refused;
    refused.sent();
    BOOST_CHECK(refused.refused() == attempt_action::report_refused);
    BOOST_TEST(!refused.may_have_run());
    attempt_machine cancelled;
    cancelled.sent();
    BOOST_CHECK(cancelled.cancel() == attempt_action::reset_stream);
    BOOST_TEST(cancelled.may_have_run());
    BOOST_CHECK(cancelled.finished() == attempt_action::nothing);
}

BOOST_AUTO_TEST_CASE(a_connection_drains_before_it_closes)
{
    connection_machine link;
    BOOST_CHECK(link.want() == connection_action::open);
    BOOST_CHECK(link.lost() == connection_action::wait);
    BOOST_CHECK(link.retry() == connection_action::open);
    BOOST_CHECK(link.opened() == connection_action::use);
    BOOST_TEST(link.usable());
    BOOST_CHECK(link.leave(false) == connection_action::stop_new_work);
    BOOST_TEST(!link.usable());
    BOOST_CHECK(link.want() == connection_action::use);
    link.leave(false);
    BOOST_CHECK(link.became_idle() == connection_action::close);
    BOOST_CHECK(link.retry() == connection_action::nothing);
    link.want();
    link.opened();
    BOOST_CHECK(link.lost() == connection_action::fail_attempts_and_wait);
    // The target leaves while the entry waits to connect again.
    BOOST_CHECK(link.leave(true) == connection_action::nothing);
    BOOST_CHECK(link.retry() == connection_action::nothing);
}

BOOST_AUTO_TEST_SUITE_END()
