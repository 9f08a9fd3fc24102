#include "entry/lifecycle.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace tanagertrack;
using entry::phase;

namespace
{

struct fixture
{
    fixture()
        : life({[this] { told += "serving "; }, [this] { told += "draining "; },
                [this] { told += "closing "; },
                [this]
                {
                    told += "stopped ";
                }})
    {
    }

    std::string told;
    entry::lifecycle life;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lifecycle, fixture)

// Guards against an entry that takes callers before it can serve them.
BOOST_AUTO_TEST_CASE(entry_serves_when_it_knows_configuration_and_targets)
{
    BOOST_TEST((life.current() == phase::starting));
    life.handle_targets_known();
    life.handle_targets_known();
    BOOST_TEST((life.current() == phase::starting));
    life.handle_configuration();
    BOOST_TEST((life.current() == phase::serving));
    life.handle_configuration();
    BOOST_TEST(told == "serving ");
}

BOOST_AUTO_TEST_CASE(order_of_knowledge_does_not_matter)
{
    life.handle_configuration();
    BOOST_TEST((life.current() == phase::starting));
    life.handle_targets_known();
    BOOST_TEST((life.current() == phase::serving));
}

// Guards against requests that are cut by a planned stop: callers leave first,
// then what is under way ends.
BOOST_AUTO_TEST_CASE(planned_stop_goes_through_all_phases)
{
    life.handle_configuration();
    life.handle_targets_known();
    life.stop();
    BOOST_TEST((life.current() == phase::draining));

    // Without requests for a moment, callers may still come.
    life.handle_idle();
    BOOST_TEST((life.current() == phase::draining));
    life.handle_callers_gone();
    BOOST_TEST((life.current() == phase::closing));
    life.handle_idle();
    BOOST_TEST((life.current() == phase::stopped));
    BOOST_TEST(told == "serving draining closing stopped ");
}

BOOST_AUTO_TEST_CASE(grace_period_ends_every_stop)
{
    life.stop();
    life.handle_grace_expired();
    BOOST_TEST((life.current() == phase::stopped));
    life.handle_configuration();
    life.handle_targets_known();
    life.stop();
    BOOST_TEST((life.current() == phase::stopped));
    BOOST_TEST(told == "draining stopped ");
}

BOOST_AUTO_TEST_CASE(grace_period_of_no_stop_means_nothing)
{
    life.handle_configuration();
    life.handle_targets_known();
    life.handle_grace_expired();
    life.handle_idle();
    life.handle_callers_gone();
    BOOST_TEST((life.current() == phase::serving));
}

BOOST_AUTO_TEST_SUITE_END()
