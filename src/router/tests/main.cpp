#define BOOST_TEST_MODULE router
#include <boost/test/unit_test.hpp>
