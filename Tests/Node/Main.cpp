#define BOOST_TEST_MODULE Node
#include <boost/test/unit_test.hpp>
