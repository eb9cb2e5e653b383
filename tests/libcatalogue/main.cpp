#define BOOST_TEST_MODULE libcatalogue
#include <boost/test/unit_test.hpp>
