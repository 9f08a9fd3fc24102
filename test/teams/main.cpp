#define BOOST_TEST_MODULE teams
#include "support/quiet_log.hpp"

#include <boost/test/unit_test.hpp>

using tanagertrack::test::quiet_log;
BOOST_TEST_GLOBAL_FIXTURE(quiet_log);
