#define BOOST_TEST_MODULE targets
#include <boost/test/unit_test.hpp>
