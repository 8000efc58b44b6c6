#define BOOST_TEST_MODULE Jobs
#include <boost/test/unit_test.hpp>
