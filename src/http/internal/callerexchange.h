#pragma once

#include "framework/types/time.h"
#include "http/bytebudget.h"
#include "http/iexchange.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace lagoon::http {

class CallerConnection;

/// The handler's interface to one request.
class CallerExchange final : public IExchange {
public:
    CallerExchange(std::shared_ptr<CallerConnection>, Request, std::unique_ptr<ByteReservation>,
        framework::SteadyTime headReceivedAt, framework::SteadyTime receivedAt);
    ~CallerExchange() override;
    CallerExchange(const CallerExchange&) = delete;
    CallerExchange& operator=(const CallerExchange&) = delete;

    const Request& request() const override { return request_; }
    framework::SteadyTime receivedAt() const override { return receivedAt_; }
    framework::SteadyTime headReceivedAt() const override { return headReceivedAt_; }
    std::string takeBody() override { return std::exchange(request_.body, {}); }
    void answer(ResponseHead, std::string body) override;
    void beginAnswer(ResponseHead) override;
    void sendPiece(std::string_view) override;
    void endAnswer() override;
    void breakOff() override;
    bool hasCallerDisconnected() const override;
    void setDisconnectHandler(std::function<void()>) override;
    std::size_t unsentBytes() const override;
    void setDrainedHandler(std::function<void()>) override;

    /// Called by the connection.
    void handleDisconnect();
    void didDrain();

private:
    /// Detaches this exchange from the connection and returns the latter.
    std::shared_ptr<CallerConnection> release();

    std::shared_ptr<CallerConnection> connection_;
    Request request_;
    std::unique_ptr<ByteReservation> bodyReservation_;
    framework::SteadyTime headReceivedAt_;
    framework::SteadyTime receivedAt_;
    std::function<void()> onDisconnect_;
    std::function<void()> onDrained_;
};

} // namespace lagoon::http
