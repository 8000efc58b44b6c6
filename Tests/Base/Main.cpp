#define BOOST_TEST_MODULE Base
#include <boost/test/unit_test.hpp>
