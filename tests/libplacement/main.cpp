#define BOOST_TEST_MODULE libplacement
#include <boost/test/unit_test.hpp>
