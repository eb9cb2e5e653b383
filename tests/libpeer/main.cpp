#define BOOST_TEST_MODULE libpeer
#include <boost/test/unit_test.hpp>
