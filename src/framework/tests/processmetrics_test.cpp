#include "framework/metrics.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace lagoon::framework {

namespace {

double valueOf(const std::string& metric)
{
    const std::string text = "\n" + Metrics().text();
    const std::string line = "\n" + metric + " ";
    const std::size_t at = text.find(line);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, metric << " is missing");
    return std::stod(text.substr(at + line.size()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProcessMetrics)

// Prevents a process from reaching one of its limits without any sign of it before.
BOOST_AUTO_TEST_CASE(theyTellHowNearAProcessIsToItsLimits)
{
    const double before = valueOf("process_open_fds");
    const int file = open("/dev/null", O_RDONLY);
    BOOST_TEST(valueOf("process_open_fds") == before + 1);
    close(file);
    BOOST_TEST(valueOf("process_max_fds") >= before);
    BOOST_TEST(valueOf("process_threads") >= 1);
    BOOST_TEST(valueOf("process_resident_memory_bytes") > 0);
    BOOST_TEST(valueOf("process_virtual_memory_bytes") >= valueOf("process_resident_memory_bytes"));
    BOOST_TEST(valueOf("process_virtual_memory_max_bytes") >= valueOf("process_virtual_memory_bytes"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::framework
