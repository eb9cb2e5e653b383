#define BOOST_TEST_MODULE libchart
#include <boost/test/unit_test.hpp>
