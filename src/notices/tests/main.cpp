#define BOOST_TEST_MODULE notices
#include <boost/test/unit_test.hpp>
