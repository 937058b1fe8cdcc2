#pragma once

#include "framework/eventthread.h"
#include "http/exchangeserver.h"
#include "http/testing/rawcaller.h"

#include <functional>
#include <future>
#include <memory>
#include <string>

namespace lagoon::http::testing {

/// A server whose handler is the test's.
class ExchangeFixture : public IExchangeHandler {
public:
    ExchangeFixture()
        : server(thread, *this)
        , endpoint(server.listen(framework::Endpoint("127.0.0.1:0")).value())
    {
    }
    ~ExchangeFixture() override { thread.stop(); }

    void handle(const std::shared_ptr<IExchange>& exchange) override { onRequest(exchange); }

    /// Runs on the server's thread and waits for it.
    void onThread(const std::function<void()>& action)
    {
        std::promise<void> done;
        thread.post([&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    /// Requests are answered with a stream whose first piece is "first"; `lastExchange` is the last one's.
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

    /// Runs on the server's thread; by default answers with the method, path and body that came.
    std::function<void(const std::shared_ptr<IExchange>&)> onRequest = [](const std::shared_ptr<IExchange>& exchange) {
        const Request& request = exchange->request();
        exchange->answer(ok(), request.method + " " + request.target + " " + request.body);
    };
    framework::EventThread thread;
    ExchangeServer server;
    framework::Endpoint endpoint;
};

} // namespace lagoon::http::testing
