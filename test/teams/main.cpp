#define BOOST_TEST_MODULE teams
#include <boost/test/unit_test.hpp>
