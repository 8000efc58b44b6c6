#define BOOST_TEST_MODULE Http
#include <boost/test/unit_test.hpp>
