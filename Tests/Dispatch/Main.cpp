#define BOOST_TEST_MODULE Dispatch
#include <boost/test/unit_test.hpp>
