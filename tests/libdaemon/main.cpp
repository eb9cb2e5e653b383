#define BOOST_TEST_MODULE libdaemon
#include <boost/test/unit_test.hpp>
