#pragma once

#include "support/childprocess.h"
#include "support/crowd.h"
#include "support/processusage.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <sys/resource.h>
#include <vector>

namespace lagoon::crowdtests {

/// The memory of the machines that routers and agents run on. A process that needs more is killed there.
inline constexpr double routerMib = 260;
inline constexpr double agentMib = 192;
/// The descriptors of a process in the tests of crowds that occupy them.
inline constexpr rlim_t descriptors = 256;
/// A quarter is left for connections to servers, other processes and files.
inline constexpr std::size_t mostDescriptors = descriptors / 4 * 3;
inline constexpr std::size_t manyConnections = 300;

/// The largest frame that links take.
inline constexpr std::size_t longestFrame = 8 * 1024 * 1024;
inline constexpr std::size_t portClients = 50;

/// Requests that don't end, or go far beyond the limits.
inline std::vector<testsupport::CrowdMessage> hostileMessages(const std::string& target)
{
    using namespace testsupport;
    return { framingWithoutEnd(target, "0\r\nX-Long: "), framingWithoutEnd(target, "5;a="), headWithoutEnd(target),
        chunksWithoutEnd(target), bodyOf(target, 100 * longestFrame, longestFrame), bodyOf(target, 8000000, 7999999) };
}

/// Checks a process beside which a crowd stays.
inline void checkProcess(testsupport::ChildProcess& process, double memoryMib, const std::string& endpoint = {})
{
    BOOST_TEST(process.isRunning(), process.name());
    const testsupport::ProcessUsage usage = testsupport::usageOf(process.pid());
    const double queues = endpoint.empty() ? 0 : testsupport::socketQueuesMib(endpoint);
    BOOST_TEST(usage.peakResidentMib + queues < memoryMib,
        process.name() << ": " << usage.peakResidentMib << " MiB, sockets " << queues << " MiB");
    BOOST_TEST_MESSAGE(process.name() << ": " << usage.peakResidentMib << " MiB, sockets " << queues << " MiB, "
                                      << usage.openDescriptors << " descriptors");
}

/// Checks that a crowd leaves descriptors for connections to servers.
inline void checkDescriptors(const testsupport::Crowd& crowd, testsupport::ChildProcess& process)
{
    BOOST_TEST(crowd.isSettled());
    BOOST_TEST(testsupport::usageOf(process.pid()).openDescriptors < mostDescriptors, process.name());
}

/// Checks that one ordinary request is served while the crowd stays.
inline void checkServes(const testsupport::Crowd& crowd, const std::function<bool()>& isServed)
{
    BOOST_TEST(crowd.isSettled());
    BOOST_TEST_MESSAGE("sent " << crowd.sentBytes() / (1024 * 1024) << " MiB");
    BOOST_TEST(testsupport::isReached(isServed));
}

} // namespace lagoon::crowdtests
