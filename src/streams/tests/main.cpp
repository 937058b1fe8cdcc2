#define BOOST_TEST_MODULE streams
#include <boost/test/unit_test.hpp>
