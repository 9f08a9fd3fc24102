#define BOOST_TEST_MODULE online
#include <boost/test/unit_test.hpp>
