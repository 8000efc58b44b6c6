#define BOOST_TEST_MODULE Net
#include <boost/test/unit_test.hpp>
