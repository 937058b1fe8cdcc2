#pragma once

#include "framework/eventthread.h"
#include "http/callclient.h"
#include "http/clientconnection.h"
#include "http/connectionpool.h"
#include "http/testing/rawserver.h"

#include <functional>
#include <future>
#include <new>
#include <optional>
#include <string>

namespace lagoon::http {

using testing::RawServer;

/// Records the outcome of a request. Accepts answers whose `X-Id` is `expectedId`, or that have none.
class RecordedAnswer final : public IAnswerSink {
public:
    explicit RecordedAnswer(std::string expectedId = {})
        : expectedId_(std::move(expectedId))
    {
    }

    bool didReceiveHead(const ResponseHead& head) override
    {
        throwAt(ClientStep::AwaitHead);
        this->head = head;
        return expectedId_.empty() || head.headers.find("X-Id").value_or(expectedId_) == expectedId_;
    }
    void willSend() override
    {
        throwAt(ClientStep::Send);
        if (onWillSend)
            onWillSend();
    }
    void didReceiveBody(std::string_view piece) override
    {
        throwAt(ClientStep::ReadBody);
        body += piece;
    }
    void didFinish() override { ended.set_value(true); }
    void didFail(const ClientFailure& failed) override
    {
        failure = failed;
        ended.set_value(false);
    }
    /// Blocks until the request has ended, and returns whether its answer was complete.
    bool wait() { return ended.get_future().get(); }

    ResponseHead head;
    std::string body;
    ClientFailure failure;
    std::promise<bool> ended;
    std::function<void()> onWillSend;
    /// The step at which the sink throws; std::nullopt if it doesn't.
    std::optional<ClientStep> throwsAt;

private:
    void throwAt(ClientStep step) const
    {
        if (throwsAt == step)
            throw std::bad_alloc();
    }

    std::string expectedId_;
};

constexpr AnswerLimits answerLimits { 1000, 1500 };

struct ClientFixture {
    ClientFixture()
        : pool(thread.context(), server.endpoint(), ClientOptions {}, 4)
        , client(thread, server.endpoint(), answerLimits)
    {
    }
    ~ClientFixture() { thread.stop(); }

    std::shared_ptr<RecordedAnswer> send(const Request& request, const std::string& expectedId = {})
    {
        return sendWith(std::make_shared<RecordedAnswer>(expectedId), request);
    }

    std::shared_ptr<RecordedAnswer> sendWith(std::shared_ptr<RecordedAnswer> answer, const Request& request)
    {
        std::promise<void> sent;
        thread.post([&] {
            pool.take(ConnectionPool::Reuse::Normal, std::chrono::steady_clock::now())->send(request, answer);
            sent.set_value();
        });
        sent.get_future().wait();
        return answer;
    }

    /// Starts a call with a deadline of 150 ms, and accepts its connection and request on the server.
    std::future<framework::Result<Response>> call(const std::string& target)
    {
        auto answer = callWithoutAccept(target);
        server.accept();
        server.request();
        return answer;
    }

    /// Starts a call with a deadline of 150 ms over any connection that the client chooses.
    std::future<framework::Result<Response>> callWithoutAccept(const std::string& target)
    {
        using framework::Milliseconds;
        const auto deadline = framework::Deadline::after(std::chrono::steady_clock::now(), Milliseconds(150));
        const auto answered = std::make_shared<std::promise<framework::Result<Response>>>();
        client.call({ "GET", target, {}, {} }, deadline,
            [answered](framework::Result<Response> answer) { answered->set_value(std::move(answer)); });
        return answered->get_future();
    }

    std::size_t openConnections()
    {
        std::promise<std::size_t> open;
        thread.post([&] { open.set_value(pool.open()); });
        return open.get_future().get();
    }

    Request post { "POST", "/x", {}, "body" };
    RawServer server;
    framework::EventThread thread;
    ConnectionPool pool;
    CallClient client;
};

} // namespace lagoon::http
