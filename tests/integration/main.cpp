#define BOOST_TEST_MODULE integration
#include <boost/test/unit_test.hpp>
