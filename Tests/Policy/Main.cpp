#define BOOST_TEST_MODULE Policy
#include <boost/test/unit_test.hpp>
