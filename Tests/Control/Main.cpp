#define BOOST_TEST_MODULE Control
#include <boost/test/unit_test.hpp>
