#define BOOST_TEST_MODULE objectstore
#include <boost/test/unit_test.hpp>
