#define BOOST_TEST_MODULE libsettings
#include <boost/test/unit_test.hpp>
