#define BOOST_TEST_MODULE libmembership
#include <boost/test/unit_test.hpp>
