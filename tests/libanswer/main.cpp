#define BOOST_TEST_MODULE libanswer
#include <boost/test/unit_test.hpp>
