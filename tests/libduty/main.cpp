#define BOOST_TEST_MODULE libduty
#include <boost/test/unit_test.hpp>
