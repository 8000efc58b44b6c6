#define BOOST_TEST_MODULE Entry
#include <boost/test/unit_test.hpp>
