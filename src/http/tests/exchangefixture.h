#pragma once

#include "framework/eventthread.h"
#include "http/exchangeserver.h"
#include "http/testing/rawcaller.h"

#include <functional>
#include <future>
#include <memory>
#include <string>

namespace lagoon::http::testing {

/// A server whose requests are handled by the test.
class ExchangeFixture : public IExchangeHandler {
public:
    ExchangeFixture()
        : server(thread, *this)
        , endpoint(server.listen(framework::Endpoint("127.0.0.1:0")).value())
    {
    }
    ~ExchangeFixture() override { thread.stop(); }

    void handle(const std::shared_ptr<IExchange>& exchange) override { onRequest(exchange); }

    /// Runs the action on the server's thread and waits for its end.
    void onThread(const std::function<void()>& action)
    {
        std::promise<void> done;
        thread.post([&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    /// Answers each request with a stream that starts with the piece "first", and stores its exchange in
    /// `lastExchange`.
    void beginStreams(std::shared_ptr<IExchange>& lastExchange)
    {
        onRequest = [&lastExchange](const std::shared_ptr<IExchange>& exchange) {
            lastExchange = exchange;
            exchange->beginAnswer(ok());
            exchange->sendPiece("first");
        };
    }

    static ResponseHead ok() { return ResponseHead { 200, {}, {} }; }
    static std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

    /// Runs on the server's thread. By default it answers with the received method, path and body.
    std::function<void(const std::shared_ptr<IExchange>&)> onRequest = [](const std::shared_ptr<IExchange>& exchange) {
        const Request& request = exchange->request();
        exchange->answer(ok(), request.method + " " + request.target + " " + request.body);
    };
    framework::EventThread thread;
    ExchangeServer server;
    framework::Endpoint endpoint;
};

} // namespace lagoon::http::testing
