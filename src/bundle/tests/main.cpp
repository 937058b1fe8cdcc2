#define BOOST_TEST_MODULE bundle
#include <boost/test/unit_test.hpp>
