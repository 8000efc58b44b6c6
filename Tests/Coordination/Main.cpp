#define BOOST_TEST_MODULE Coordination
#include <boost/test/unit_test.hpp>
