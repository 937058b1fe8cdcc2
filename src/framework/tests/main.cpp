#define BOOST_TEST_MODULE framework
#include <boost/test/unit_test.hpp>
