#define BOOST_TEST_MODULE libscheduling
#include <boost/test/unit_test.hpp>
