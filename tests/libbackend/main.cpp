#define BOOST_TEST_MODULE libbackend
#include <boost/test/unit_test.hpp>
