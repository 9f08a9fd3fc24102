#include "entry/lifecycle.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace tanagertrack;
using entry::phase;

namespace
{

/// A lifecycle, and the names of the phases that its hooks have reported.
struct fixture
{
    fixture()
        : life({[this] { phases_begun += "serving "; },
                [this] { phases_begun += "draining "; },
                [this] { phases_begun += "closing "; },
                [this]
                {
                    phases_begun += "stopped ";
                }})
    {
    }

    std::string phases_begun;
    entry::lifecycle life;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lifecycle, fixture)

// Guards against an entry that accepts requests before it can serve them.
BOOST_AUTO_TEST_CASE(serving_begins_when_configuration_and_targets_are_known)
{
    BOOST_TEST((life.current() == phase::starting));
    life.handle_targets_known();
    life.handle_targets_known();
    BOOST_TEST((life.current() == phase::starting));
    life.handle_configuration();
    BOOST_TEST((life.current() == phase::serving));
    life.handle_configuration();
    BOOST_TEST(phases_begun == "serving ");
}

BOOST_AUTO_TEST_CASE(serving_begins_when_the_configuration_is_known_first)
{
    life.handle_configuration();
    BOOST_TEST((life.current() == phase::starting));
    life.handle_targets_known();
    BOOST_TEST((life.current() == phase::serving));
}

// Guards against requests that are cut off by a planned stop: the entry must
// stop only after callers had time to leave and all requests have ended.
BOOST_AUTO_TEST_CASE(planned_stop_waits_for_callers_and_then_for_requests)
{
    life.handle_configuration();
    life.handle_targets_known();
    life.stop();
    BOOST_TEST((life.current() == phase::draining));

    // No request is in progress, but callers may still send new ones.
    life.handle_idle();
    BOOST_TEST((life.current() == phase::draining));
    life.handle_callers_gone();
    BOOST_TEST((life.current() == phase::closing));
    life.handle_idle();
    BOOST_TEST((life.current() == phase::stopped));
    BOOST_TEST(phases_begun == "serving draining closing stopped ");
}

BOOST_AUTO_TEST_CASE(stop_ends_when_the_grace_period_expires)
{
    life.stop();
    life.handle_grace_expired();
    BOOST_TEST((life.current() == phase::stopped));
    life.handle_configuration();
    life.handle_targets_known();
    life.stop();
    BOOST_TEST((life.current() == phase::stopped));
    BOOST_TEST(phases_begun == "draining stopped ");
}

BOOST_AUTO_TEST_CASE(events_of_a_stop_are_ignored_while_serving)
{
    life.handle_configuration();
    life.handle_targets_known();
    life.handle_grace_expired();
    life.handle_idle();
    life.handle_callers_gone();
    BOOST_TEST((life.current() == phase::serving));
}

BOOST_AUTO_TEST_SUITE_END()
