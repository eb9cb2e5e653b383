#define BOOST_TEST_MODULE libemulator
#include <boost/test/unit_test.hpp>
