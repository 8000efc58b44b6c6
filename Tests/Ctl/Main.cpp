#define BOOST_TEST_MODULE Ctl
#include <boost/test/unit_test.hpp>
