#define BOOST_TEST_MODULE standins
#include <boost/test/unit_test.hpp>
