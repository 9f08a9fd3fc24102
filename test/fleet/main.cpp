#define BOOST_TEST_MODULE fleet
#include <boost/test/unit_test.hpp>
