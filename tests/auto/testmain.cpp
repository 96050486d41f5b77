#define BOOST_TEST_MODULE dragonflywinch
#include <boost/test/unit_test.hpp>
