#include "soak/memorymeter.h"

#include "support/waitfor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <unistd.h>

using namespace lagoon::soak;
using boost::asio::ip::tcp;
using lagoon::testsupport::waitFor;

namespace {

/// A connection of the test's process to itself.
struct Connection {
    Connection()
    {
        client.connect(acceptor.local_endpoint());
        acceptor.accept(server);
    }

    static MemoryUse use()
    {
        MemoryMeter meter;
        meter.sampleConnections();
        return meter.useOf(getpid());
    }

    boost::asio::io_context context;
    tcp::acceptor acceptor { context, { boost::asio::ip::address_v4::loopback(), 0 } };
    tcp::socket client { context };
    tcp::socket server { context };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemoryMeters, Connection)

BOOST_AUTO_TEST_CASE(thePeakOfResidentMemoryStays)
{
    constexpr std::size_t size = 50'000'000;
    const MemoryUse before = use();
    {
        const std::string filled(size, 'x');
        BOOST_TEST(filled.back() == 'x');
    }
    BOOST_TEST(use().peakResident >= before.peakResident + size / 2);
}

// Prevents a process that lets received bytes lie from appearing small.
BOOST_AUTO_TEST_CASE(receivedBytesCountUntilTheyAreRead)
{
    const std::string bytes(10'000, 'x');
    BOOST_TEST(use().unread == 0U);
    boost::asio::write(client, boost::asio::buffer(bytes));
    waitFor("the bytes to arrive", [&] { return use().unread == bytes.size(); });
    std::string read(bytes.size(), '\0');
    boost::asio::read(server, boost::asio::buffer(read));
    BOOST_TEST(use().unread == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
