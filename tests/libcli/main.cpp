#define BOOST_TEST_MODULE libcli
#include <boost/test/unit_test.hpp>
