#define BOOST_TEST_MODULE batch
#include <boost/test/unit_test.hpp>
