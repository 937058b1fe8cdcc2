#include "soak/resumingcallers.h"

#include "http/testing/rawcaller.h"
#include "soak/standins.h"

namespace lagoon::soak {

namespace {

using framework::Milliseconds;

constexpr std::size_t callersPerRouter = 3;
constexpr int maxTries = 5;
constexpr std::uint64_t pauseRangeMs = 30;

bool isNotRun(int status) { return status == 503; }

int runsOf(fleet::Fleet& fleet, const std::string& attempt)
{
    int runs = 0;
    for (std::size_t index = 0; index < fleet.engines(); ++index)
        runs += fleet.engine(index).runs(attempt);
    return runs;
}

} // namespace

ResumingCallers::ResumingCallers(
    const SoakSettings& settings, const RunParameters& parameters, const LoadBalancer& balancer)
    : settings_(settings)
    , parameters_(parameters)
    , balancer_(balancer)
{
    for (std::size_t number = 0; number < callersPerRouter * settings.routers; ++number)
        threads_.emplace_back([this, number] { callLoop(number); });
}

ResumingCallers::~ResumingCallers() { stop(); }

void ResumingCallers::stop()
{
    isStopping_ = true;
    for (std::thread& thread : threads_)
        thread.join();
    threads_.clear();
}

void ResumingCallers::callLoop(std::size_t number)
{
    std::mt19937_64 random(settings_.seed * 104729 + number);
    for (int count = 0; !isStopping_; ++count) {
        Stream stream;
        stream.attempt
            = "v" + std::to_string(settings_.seed) + "-" + std::to_string(number) + "-" + std::to_string(count);
        receive(stream, random);
        const std::lock_guard lock(mutex_);
        streams_.push_back(std::move(stream));
    }
}

void ResumingCallers::receive(Stream& stream, std::mt19937_64& random)
{
    for (int attempt = 1; attempt <= maxTries && stream.received.lastId() < streamEvents; ++attempt) {
        std::this_thread::sleep_for(Milliseconds(random() % pauseRangeMs));
        const auto router = balancer_.choose(random);
        if (!router || isStopping_)
            return;
        const bool isFirst = stream.received.lastId() == 0;
        const std::string name = attempt == 1 ? stream.attempt : stream.attempt + "." + std::to_string(attempt);
        // Until an event has come, each try may be the one that begins the stream.
        if (isFirst)
            stream.attempt = name;
        tryOnce(stream, name, router->endpoint, random);
    }
}

void ResumingCallers::tryOnce(
    Stream& stream, const std::string& attempt, const std::string& router, std::mt19937_64& random)
{
    const std::uint64_t lastId = stream.received.lastId();
    fleet::CallerRequest request;
    request.target = "/resume/" + attempt;
    request.attempt = attempt;
    request.model = "warm";
    request.deadlineMs = static_cast<int>(parameters_.deadline.count());
    request.prompt = std::to_string(random() % 16) + ":50";
    if (lastId > 0)
        request.headers = { { "Resumes", stream.attempt }, { "Last-Event-Id", std::to_string(lastId) } };
    // Some callers leave in the middle of the stream.
    const std::uint64_t leavesAfter = random() % (2 * streamEvents);
    fleet::CallerAnswer answer;
    try {
        http::testing::RawCaller connection { framework::Endpoint(router) };
        connection.send(request.text());
        if (leavesAfter > lastId && leavesAfter < streamEvents)
            (void)connection.readUntil("word" + std::to_string(leavesAfter) + " ");
        else
            connection.readToEnd();
        answer = fleet::parseAnswer(connection.received());
    } catch (const std::exception&) {
        // The router refuses connections because it is down.
        return;
    }
    if (answer.status == 200)
        stream.received.add(fleet::parseEvents(answer.body));
    stream.tries[attempt] = answer.status;
    const bool hasBrought = stream.received.lastId() > lastId;
    const std::lock_guard lock(mutex_);
    ++(lastId == 0 ? counts_.asked : counts_.takenUp);
    if (hasBrought)
        ++(lastId == 0 ? counts_.began : counts_.wentOn);
    counts_.refused += lastId > 0 && isNotRun(answer.status) ? 1 : 0;
}

void ResumingCallers::check(fleet::Fleet& fleet, RunLog& runLog)
{
    runLog.note("streams: " + std::to_string(counts_.began) + " of " + std::to_string(counts_.asked) + " began, "
        + std::to_string(counts_.wentOn) + " of " + std::to_string(counts_.takenUp) + " taken up went on, "
        + std::to_string(counts_.refused) + " were refused");
    for (const Stream& stream : streams_) {
        if (stream.received.versions().size() > 1)
            runLog.fail("a stream holds events of several versions: " + stream.attempt + "\n"
                + fleet.logLinesContaining(stream.attempt));
        if (!stream.received.isInOrder())
            runLog.fail("events of a stream are missing or repeated: " + stream.attempt + "\n"
                + fleet.logLinesContaining(stream.attempt));
        for (const auto& [attempt, status] : stream.tries) {
            if (isNotRun(status) && runsOf(fleet, attempt) > 0)
                runLog.fail("refused as not run, but ran: " + attempt + "\n" + fleet.logLinesContaining(attempt));
        }
    }
}

} // namespace lagoon::soak
