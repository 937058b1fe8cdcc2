#define BOOST_TEST_MODULE callers
#include <boost/test/unit_test.hpp>
