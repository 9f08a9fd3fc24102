#include "entry/crashing_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace tanagertrack::test;

BOOST_AUTO_TEST_SUITE(leaving_targets)

// Guards against new requests for a target that says in its answers that it is
// leaving, while its announcement in the store is late.
BOOST_AUTO_TEST_CASE(target_that_answers_that_it_is_leaving_gets_no_requests)
{
    crashing_fleet it(1, 2);
    it.set_leaving(0);
    for (int n = 0; n < 10; ++n)
        BOOST_TEST(it.send(0, "/sound", "a," + std::to_string(n)).complete);
    BOOST_TEST(it.requests_of(0) <= 1U);

    // A newer announcement that does not know of it changes nothing.
    it.announce_again(0);
    for (int n = 0; n < 10; ++n)
        BOOST_TEST(it.send(0, "/sound", "a," + std::to_string(n)).complete);
    BOOST_TEST(it.requests_of(0) <= 1U);
}

BOOST_AUTO_TEST_SUITE_END()
