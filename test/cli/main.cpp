#define BOOST_TEST_MODULE cli
#include <boost/test/unit_test.hpp>
