#define BOOST_TEST_MODULE quarantine
#include <boost/test/unit_test.hpp>
