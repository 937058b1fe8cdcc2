#define BOOST_TEST_MODULE direct
#include <boost/test/unit_test.hpp>
