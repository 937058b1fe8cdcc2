#include "http/tests/exchangefixture.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace lagoon::http {

namespace {

using testing::ExchangeFixture;
using testing::RawCaller;

/// Uses up the process's descriptors. The destructor restores them.
class ExhaustedDescriptors {
public:
    /// Leaves `count` descriptors.
    explicit ExhaustedDescriptors(std::size_t count)
    {
        constexpr rlim_t limit = 128;
        getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit lowered { limit, before_.rlim_max };
        setrlimit(RLIMIT_NOFILE, &lowered);
        for (int file = open("/dev/null", O_RDONLY); file >= 0; file = open("/dev/null", O_RDONLY))
            files_.push_back(file);
        BOOST_REQUIRE(files_.size() >= count);
        for (std::size_t index = 0; index < count; ++index) {
            close(files_.back());
            files_.pop_back();
        }
    }
    ~ExhaustedDescriptors()
    {
        for (const int file : files_)
            close(file);
        setrlimit(RLIMIT_NOFILE, &before_);
    }
    ExhaustedDescriptors(const ExhaustedDescriptors&) = delete;
    ExhaustedDescriptors& operator=(const ExhaustedDescriptors&) = delete;

private:
    rlimit before_ {};
    std::vector<int> files_;
};

/// The descriptors of a RawCaller: its socket, and three of its io_context.
constexpr std::size_t callerDescriptors = 4;

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServersWithoutDescriptors, ExchangeFixture)

// Prevents callers that keep idle connections from using up all descriptors, so that a request is never accepted.
BOOST_AUTO_TEST_CASE(theLongestIdleConnectionMakesRoom)
{
    onThread([&] {
        ExchangeLimits limits;
        limits.idleTimeout = std::chrono::hours(1);
        server.setLimits(limits);
    });
    RawCaller first(endpoint);
    first.send(get("/first"));
    BOOST_TEST(first.readUntil("GET /first "));
    RawCaller second(endpoint);
    second.send(get("/second"));
    BOOST_TEST(second.readUntil("GET /second "));
    const ExhaustedDescriptors exhausted(callerDescriptors);
    RawCaller third(endpoint);
    third.send(get("/third"));
    BOOST_TEST(third.readUntil("GET /third "));
    first.readToEnd();
    BOOST_TEST(!first.wasReset());
    second.send(get("/again"));
    BOOST_TEST(second.readUntil("GET /again "));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::http
