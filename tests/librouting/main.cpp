#define BOOST_TEST_MODULE librouting
#include <boost/test/unit_test.hpp>
