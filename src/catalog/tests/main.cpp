#define BOOST_TEST_MODULE catalog
#include <boost/test/unit_test.hpp>
