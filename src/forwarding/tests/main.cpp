#define BOOST_TEST_MODULE forwarding
#include <boost/test/unit_test.hpp>
