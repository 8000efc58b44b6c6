#define BOOST_TEST_MODULE Wire
#include <boost/test/unit_test.hpp>
