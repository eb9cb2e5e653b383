#define BOOST_TEST_MODULE faults
#include <boost/test/unit_test.hpp>
