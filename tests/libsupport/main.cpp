#define BOOST_TEST_MODULE libsupport
#include <boost/test/unit_test.hpp>
