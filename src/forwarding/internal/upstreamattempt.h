#pragma once

#include "forwarding/internal/ijobhost.h"
#include "forwarding/internal/inflightguard.h"
#include "forwarding/irequestdialect.h"
#include "http/bytebudget.h"
#include "http/clientconnection.h"
#include "quarantine/requestquarantine.h"

#include <memory>
#include <string>

namespace lagoon::forwarding {

class RequestJob;

/// Sends a request to a server once, reads the answer and reports its class to the request.
class UpstreamAttempt final : public http::IAnswerSink, public std::enable_shared_from_this<UpstreamAttempt> {
public:
    UpstreamAttempt(std::weak_ptr<RequestJob>, const IJobHost&, std::unique_ptr<InFlightGuard>,
        std::shared_ptr<http::ClientConnection>);

    void send(const http::Request&);
    /// Closes the connection, upon which the server drops the work; the request receives no further events.
    void abandon();
    void pause() { connection_->pause(); }
    void resume() { connection_->resume(); }
    InFlightGuard& guard() { return *guard_; }
    /// Set if the request is suspected and this is the only one of its copies that runs.
    void setTrial(std::unique_ptr<quarantine::TrialGuard> trial) { trial_ = std::move(trial); }
    bool isTrial() const { return trial_ != nullptr; }

    void willSend() override;
    bool didReceiveHead(const http::ResponseHead&) override;
    void didReceiveBody(std::string_view) override;
    void didFinish() override;
    void didFail(const http::ClientFailure&) override;

private:
    bool relaysEvents(const RequestJob&) const;
    AnswerClass classify(const RequestJob&, const http::ResponseHead&) const;
    bool acceptHead(RequestJob&, const http::ResponseHead&);
    void takeBody(RequestJob&, std::string_view piece);
    void reportAnswer(RequestJob&);

    std::weak_ptr<RequestJob> job_;
    const IRequestDialect& dialect_;
    std::unique_ptr<InFlightGuard> guard_;
    std::unique_ptr<quarantine::TrialGuard> trial_;
    std::shared_ptr<http::ClientConnection> connection_;
    AnswerClass answerClass_ = AnswerClass::Mismatched;
    http::ResponseHead head_;
    std::string body_;
    http::ByteReservation bodyReservation_;
};

} // namespace lagoon::forwarding
