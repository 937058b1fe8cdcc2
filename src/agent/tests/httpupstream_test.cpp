#include "agent/internal/httpmodelengine.h"
#include "agent/internal/httpupstream.h"
#include "http/testing/brokenanswers.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace lagoon::agent;
using boost::asio::ip::tcp;
using lagoon::framework::Deadline;
using lagoon::framework::Error;
using lagoon::framework::ErrorCode;
using lagoon::framework::Execution;
using lagoon::framework::MebiBytes;
using lagoon::framework::Milliseconds;
using lagoon::framework::RequestName;

namespace {

/// An upstream that answers raw HTTP requests by the test's script, one connection at a time.
class RawUpstream {
public:
    /// Answers one request, given its head; returns false to close the connection.
    using Script = std::function<bool(tcp::socket&, const std::string& head)>;

    explicit RawUpstream(Script script)
        : script_(std::move(script))
        , acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , thread_([this] { serve(); })
    {
    }

    ~RawUpstream()
    {
        isStopping_ = true;
        boost::system::error_code ignored;
        tcp::socket wake(context_);
        wake.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    unsigned requests() const { return requests_; }

private:
    void serve()
    {
        while (!isStopping_) {
            boost::system::error_code error;
            tcp::socket socket(context_);
            acceptor_.accept(socket, error);
            std::string read;
            while (!error && !isStopping_) {
                const std::size_t size
                    = boost::asio::read_until(socket, boost::asio::dynamic_buffer(read), "\r\n\r\n", error);
                if (error)
                    break;
                ++requests_;
                const std::string head = read.substr(0, size);
                read.erase(0, size);
                if (!script_(socket, head))
                    break;
            }
        }
    }

    Script script_;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<bool> isStopping_ { false };
    std::atomic<unsigned> requests_ { 0 };
    std::thread thread_;
};

void write(tcp::socket& socket, const std::string& bytes)
{
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
}

std::string chunk(const std::string& bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/plain\r\n\r\n";

/// Records the events of a call, so that the test's thread can wait for them.
class CallRecorder {
public:
    UpstreamEvents events()
    {
        UpstreamEvents events;
        events.onHead = [this](unsigned short status, const HttpHeaders& headers) {
            change([&] {
                status_ = status;
                headers_ = headers;
            });
        };
        events.onBytes = [this](const std::string& bytes) { change([&] { bytes_ += bytes; }); };
        events.onEnd = [this] { change([&] { isEnded_ = true; }); };
        events.onFailed = [this](const Error& error) { change([&] { error_ = error; }); };
        return events;
    }

    void waitForBytes(const std::string& bytes)
    {
        wait([&] { return bytes_.size() >= bytes.size(); });
        BOOST_TEST(bytes_ == bytes);
    }
    void waitForEnd()
    {
        wait([&] { return isEnded_ || error_.has_value(); });
        BOOST_TEST(isEnded_);
    }
    Error waitForError()
    {
        wait([&] { return isEnded_ || error_.has_value(); });
        BOOST_REQUIRE(error_.has_value());
        return *error_;
    }
    /// Waits for the end, and returns the error if it is a failure.
    std::optional<Error> waitForOutcome()
    {
        wait([&] { return isEnded_ || error_.has_value(); });
        return error_;
    }
    unsigned short status() const { return status_; }
    const HttpHeaders& headers() const { return headers_; }

private:
    template <typename Change> void change(Change&& change)
    {
        const std::lock_guard lock(mutex_);
        change();
        changed_.notify_all();
    }
    template <typename Condition> void wait(Condition&& condition)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, condition);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    unsigned short status_ = 0;
    HttpHeaders headers_;
    std::string bytes_;
    bool isEnded_ = false;
    std::optional<Error> error_;
};

UpstreamRequest request()
{
    UpstreamRequest made;
    made.name = RequestName("7-1");
    made.method = "POST";
    made.path = "/v1/completions?x=1";
    made.headers = { { "Accept", "text/plain" }, { "Connection", "close" }, { "x-request-id", "forged" } };
    made.priority = 8;
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpUpstreams)

BOOST_AUTO_TEST_CASE(theRequestIsForwardedWithItsNameAndPriority)
{
    std::string seen;
    CallRecorder watch;
    RawUpstream server([&](tcp::socket& socket, const std::string& head) {
        seen = head;
        write(socket, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\nX-Kept: 1\r\nConnection: close\r\n\r\nok");
        return false;
    });
    const auto upstream = makeHttpUpstream(server.url());
    upstream->run(request(), watch.events());
    watch.waitForEnd();
    watch.waitForBytes("ok");
    BOOST_TEST(watch.status() == 201);
    BOOST_REQUIRE(watch.headers().size() == 1u);
    BOOST_TEST(watch.headers()[0].first == "X-Kept");
    BOOST_TEST(seen.find("POST /v1/completions?x=1 HTTP/1.1\r\n") == 0u);
    BOOST_TEST(seen.find("X-Request-Id: 7-1\r\n") != std::string::npos);
    BOOST_TEST(seen.find("forged") == std::string::npos);
    BOOST_TEST(seen.find("X-Priority: 8\r\n") != std::string::npos);
}

// Prevents an agent that buffers the whole answer: callers read tokens as they are generated, and the first token would
// be late. The upstream sends the second chunk only after the first has been received.
BOOST_AUTO_TEST_CASE(chunksAreForwardedAsTheyAreSent)
{
    std::mutex mutex;
    std::condition_variable changed;
    bool isFirstReceived = false;
    CallRecorder watch;
    RawUpstream server([&](tcp::socket& socket, const std::string&) {
        write(socket, chunkedHead + chunk("one "));
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return isFirstReceived; });
        write(socket, chunk("two") + chunk(""));
        return false;
    });
    const auto upstream = makeHttpUpstream(server.url());
    upstream->run(request(), watch.events());
    watch.waitForBytes("one ");
    {
        const std::lock_guard lock(mutex);
        isFirstReceived = true;
        changed.notify_all();
    }
    watch.waitForEnd();
    watch.waitForBytes("one two");
}

BOOST_AUTO_TEST_CASE(aHostNameIsResolved)
{
    RawUpstream server([](tcp::socket& socket, const std::string&) {
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        return false;
    });
    const std::string url = server.url();
    const auto upstream = makeHttpUpstream("http://localhost" + url.substr(url.rfind(':')));
    CallRecorder watch;
    const auto call = upstream->run(request(), watch.events());
    watch.waitForEnd();
}

// Prevents a second run: a client that resends a POST by itself when its connection is closed before the answer lets
// the upstream book a slot twice while the caller sees one success. A call must reach the upstream once, with an
// unknown outcome.
BOOST_AUTO_TEST_CASE(aCallIsSentOnce)
{
    std::atomic<unsigned> answered { 0 };
    RawUpstream server([&](tcp::socket& socket, const std::string&) {
        if (answered > 0)
            return false;
        ++answered;
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        return true;
    });
    const auto upstream = makeHttpUpstream(server.url());
    CallRecorder first;
    upstream->run(request(), first.events());
    first.waitForEnd();
    CallRecorder second;
    upstream->run(request(), second.events());
    const Error error = second.waitForError();
    BOOST_CHECK(error.execution == Execution::Unknown);
    BOOST_TEST(server.requests() == 2u);
}

// Prevents a caller from getting an answer that an upstream has sent twice and that belongs to another request.
BOOST_AUTO_TEST_CASE(aDuplicateAnswerIsNotTheAnswerToTheNextRequest)
{
    std::string duplicate;
    unsigned short duplicateDueAt = 0;
    int number = 0;
    RawUpstream server([&](tcp::socket& socket, const std::string&) {
        const unsigned short connection = socket.remote_endpoint().port();
        if (connection == duplicateDueAt)
            write(socket, duplicate);
        duplicate = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(++number);
        duplicateDueAt = connection;
        write(socket, duplicate);
        return true;
    });
    const auto upstream = makeHttpUpstream(server.url());
    for (const std::string expected : { "1", "2" }) {
        CallRecorder watch;
        upstream->run(request(), watch.events());
        watch.waitForEnd();
        watch.waitForBytes(expected);
    }
}

BOOST_AUTO_TEST_CASE(aRefusedConnectionIsReportedAsNotRun)
{
    std::string url;
    {
        RawUpstream gone([](tcp::socket&, const std::string&) { return false; });
        url = gone.url();
    }
    const auto upstream = makeHttpUpstream(url);
    for (int call = 0; call < 2; ++call) {
        CallRecorder watch;
        upstream->run(request(), watch.events());
        const Error error = watch.waitForError();
        BOOST_CHECK(error.code == ErrorCode::UpstreamFailed);
        BOOST_CHECK(error.execution == Execution::NotRun);
    }
}

// Prevents the answer of an upstream that dies while sending it from being taken as complete: customers would sign it
// as a draft.
BOOST_AUTO_TEST_CASE(aTruncatedAnswerIsReportedAsBroken)
{
    for (const std::string& sent :
        { chunkedHead + chunk("half"), std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf") }) {
        RawUpstream server([&](tcp::socket& socket, const std::string&) {
            write(socket, sent);
            return false;
        });
        CallRecorder watch;
        const auto upstream = makeHttpUpstream(server.url());
        upstream->run(request(), watch.events());
        const Error error = watch.waitForError();
        BOOST_CHECK(error.code == ErrorCode::UpstreamBroken);
        BOOST_CHECK(error.execution == Execution::Unknown);
    }
}

BOOST_AUTO_TEST_CASE(cancellingClosesTheConnection)
{
    std::atomic<bool> isClosed { false };
    CallRecorder watch;
    RawUpstream server([&](tcp::socket& socket, const std::string&) {
        write(socket, chunkedHead + chunk("one "));
        std::string ignored;
        boost::system::error_code error;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(ignored), "\r\n\r\n", error);
        isClosed = error.failed();
        return false;
    });
    const auto upstream = makeHttpUpstream(server.url());
    const auto call = upstream->run(request(), watch.events());
    watch.waitForBytes("one ");
    call->cancel();
    call->cancel();
    BOOST_CHECK(watch.waitForError().execution == Execution::Unknown);
    while (!isClosed)
        std::this_thread::yield();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HttpModelEngines)

BOOST_AUTO_TEST_CASE(theEngineStateIsParsed)
{
    const auto state = parseEngineState(R"({"incarnation":5,"memory_mib":100,"running":1,"waiting":0,"more":1,
        "replicas":[{"model":"a","adapter":"","version":"v1","memory_mib":60,"state":"loaded"},
                    {"model":"a","adapter":"f","version":"v2","memory_mib":5,"state":"unloading"}],
        "checkpoints":[{"model":"b","adapter":"","version":"v1","place":"memory"}]})",
        "engine");
    BOOST_REQUIRE(state.has_value());
    BOOST_TEST(state.value().incarnation == 5u);
    BOOST_TEST(state.value().memory.value() == 100u);
    BOOST_REQUIRE(state.value().replicas.size() == 2u);
    BOOST_TEST(replicaText(state.value().replicas[1].checkpoint.replica) == "a/f");
    BOOST_CHECK(state.value().replicas[1].state == EngineReplicaState::Unloading);
    BOOST_CHECK(state.value().checkpoints.at(0).location == lagoon::policy::CheckpointLocation::Memory);
}

// Prevents an engine state that lacks its memory or replicas, or is truncated, from being taken for an empty engine:
// all claims would be released while the engine still has models loaded.
BOOST_AUTO_TEST_CASE(anIncompleteEngineStateIsRejected)
{
    for (const char* text :
        { "", "{}", "[]", R"({"memory_mib":100})", R"({"replicas":[]})", R"({"memory_mib":"100","replicas":[]})",
            R"({"memory_mib":100,"replicas":[{"model":1}]})", R"({"memory_mib":100,"replicas":["a"]})" })
        BOOST_TEST(parseEngineState(text, "engine").has_error(), text);
}

BOOST_AUTO_TEST_CASE(refusalsOfOrdersAreDistinguished)
{
    std::string answer;
    RawUpstream server([&](tcp::socket& socket, const std::string&) {
        write(socket, answer);
        return false;
    });
    const auto engine = makeHttpModelEngine(server.url());
    const auto order = [&](const std::string& status, const std::string& body) {
        answer = "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" + body;
        return engine->load({}, Deadline::after(std::chrono::steady_clock::now(), Milliseconds(5000)));
    };
    BOOST_TEST(order("202 Accepted", "").has_value());
    BOOST_CHECK(order("409 Conflict", R"({"error":"stale_fence","fence":9})").error().code == ErrorCode::Fenced);
    BOOST_CHECK(order("409 Conflict", R"({"error":"not_loaded"})").error().code == ErrorCode::NotLoaded);
    BOOST_CHECK(order("507 Insufficient Storage", "{}").error().code == ErrorCode::MemoryShort);
    BOOST_CHECK(order("500 Internal", "{}").error().execution == Execution::Unknown);
}

// Prevents callers from getting an answer that breaks HTTP/1.1, or its body up to an end that isn't its own.
BOOST_AUTO_TEST_CASE(aBrokenAnswerIsAFailure)
{
    using namespace lagoon::http::testing;
    std::string answer;
    RawUpstream server([&](tcp::socket& socket, const std::string&) {
        write(socket, answer);
        return false;
    });
    const auto upstream = makeHttpUpstream(server.url());
    const auto check = [&](const std::string& text, unsigned short status) {
        answer = text;
        CallRecorder watch;
        const auto call = upstream->run(request(), watch.events());
        BOOST_TEST_INFO(text);
        const auto error = watch.waitForOutcome();
        BOOST_TEST(error.has_value());
        BOOST_TEST((!error || error->execution == Execution::Unknown));
        BOOST_TEST(watch.status() == status);
    };
    for (const BrokenAnswer& broken : withBrokenHead())
        check(broken.text(), 0);
    for (const BrokenAnswer& broken : withBrokenFields())
        check("HTTP/1.1 103 Early Hints\r\n" + broken.fields + "\r\n\r\n" + BrokenAnswer().text(), 0);
    for (const BrokenAnswer& broken : withBrokenChunks())
        check(broken.text(), 200);
}

// Prevents a part of an answer from being taken for a whole one that ends with its connection: the upstream reset it
// while the request was still being written.
BOOST_AUTO_TEST_CASE(aResetDuringTheUploadIsAFailure)
{
    RawUpstream server([&](tcp::socket& socket, const std::string&) {
        write(socket, "HTTP/1.1 200 OK\r\n\r\npart");
        socket.set_option(boost::asio::socket_base::linger(true, 0));
        return false;
    });
    const auto upstream = makeHttpUpstream(server.url());
    for (int round = 0; round < 10; ++round) {
        CallRecorder watch;
        UpstreamRequest large = request();
        large.body.assign(std::size_t(16) * 1024 * 1024, 'x');
        const auto call = upstream->run(large, watch.events());
        BOOST_TEST((watch.waitForError().execution == Execution::Unknown));
    }
}

// Prevents an answer that breaks HTTP/1.1 from being taken for the engine's state or for an accepted order.
BOOST_AUTO_TEST_CASE(aBrokenAnswerIsNoAnswerOfTheEngine)
{
    using namespace lagoon::http::testing;
    std::string answer;
    RawUpstream server([&](tcp::socket& socket, const std::string&) {
        write(socket, answer);
        return false;
    });
    const auto engine = makeHttpModelEngine(server.url());
    std::vector<BrokenAnswer> answers = withBrokenHead();
    for (const BrokenAnswer& broken : withBrokenChunks())
        answers.push_back(broken);
    for (const BrokenAnswer& broken : answers) {
        answer = broken.text();
        const auto deadline = Deadline::after(std::chrono::steady_clock::now(), Milliseconds(5000));
        const auto ordered = engine->load({}, deadline);
        BOOST_TEST(ordered.has_error(), answer);
        BOOST_TEST((ordered.has_value() || ordered.error().execution == Execution::Unknown));
        const auto state = engine->state(deadline);
        BOOST_TEST((state.has_error() && state.error().step == "call engine"), answer);
    }
}

// Prevents an answer whose upstream closed within its head from being relayed as a whole one.
BOOST_AUTO_TEST_CASE(anAnswerThatEndsWithinItsHeadFails)
{
    const std::string line = "HTTP/1.1 200 OK\r\nX-Id: a\r\n";
    for (const std::string& head : { line + "Content-Length: 4\r\n\r\n", line + "Transfer-Encoding: chunked\r\n\r\n",
             line + "Connection: close\r\n\r\n" }) {
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            CallRecorder watch;
            RawUpstream server([&](tcp::socket& socket, const std::string&) {
                write(socket, head.substr(0, cut));
                return false;
            });
            const auto upstream = makeHttpUpstream(server.url());
            const auto call = upstream->run(request(), watch.events());
            const Error error = watch.waitForError();
            BOOST_TEST((error.execution == Execution::Unknown), head.substr(0, cut));
            BOOST_TEST(watch.status() == 0u);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
