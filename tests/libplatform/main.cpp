#define BOOST_TEST_MODULE libplatform
#include <boost/test/unit_test.hpp>
