#define BOOST_TEST_MODULE faultproxy
#include <boost/test/unit_test.hpp>
