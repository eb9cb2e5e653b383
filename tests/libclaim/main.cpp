#define BOOST_TEST_MODULE libclaim
#include <boost/test/unit_test.hpp>
