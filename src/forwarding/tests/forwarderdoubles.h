#pragma once

#include "forwarding/irequestdialect.h"
#include "http/iexchange.h"
#include "quotas/icustomerquotas.h"
#include "ratelimits/iserverpermits.h"
#include "streams/istreamorigins.h"

#include <optional>
#include <string>

/// Test doubles for what surrounds a forwarder.
namespace lagoon::forwarding {

/// Takes the caller's key from a header and doesn't pass it on. Every request is for a model, with 15 seconds left.
class KeyDialect final : public IRequestDialect {
public:
    static constexpr const char* keyHeader = "Key";

    framework::Result<RequestFacts> read(const http::Request&) const override
    {
        RequestFacts facts;
        facts.attempt = "a1";
        facts.timeLeft = framework::Milliseconds(15000);
        facts.model = framework::ModelName("rare");
        return facts;
    }
    std::optional<catalog::KeyDigest> key(const http::Request& request) const override
    {
        if (request.headers.count(keyHeader) != 1)
            return std::nullopt;
        return catalog::KeyDigest::of(*request.headers.find(keyHeader));
    }
    http::Request forwarded(const http::Request& request, const ForwardingOptions&) const override
    {
        http::Request sent = request;
        sent.headers.remove(keyHeader);
        return sent;
    }
    AnswerClass classify(const http::ResponseHead&, const RequestFacts&, const catalog::InstanceId&) const override
    {
        return AnswerClass::Served;
    }
    bool namesRequest(const http::ResponseHead&) const override { return true; }
    ratelimits::LimitHeader limit(const http::ResponseHead&) const override { return {}; }
    notices::ServerNotice notice(const http::ResponseHead&) const override { return {}; }
    http::ResponseHead refusal(unsigned status, std::optional<framework::Milliseconds> retryAfter) const override
    {
        http::ResponseHead head { status, {}, {} };
        if (retryAfter)
            head.headers.add("Retry-After", std::to_string(retryAfter->count()));
        return head;
    }
};

/// Records how a request ended.
class KeyExchange final : public http::IExchange {
public:
    KeyExchange(const std::string& target, const std::vector<std::string>& keys)
    {
        request_.method = "POST";
        request_.target = target;
        request_.headers.add("Host", "callers");
        for (const std::string& key : keys)
            request_.headers.add(KeyDialect::keyHeader, key);
    }
    const http::Request& request() const override { return request_; }
    framework::SteadyTime receivedAt() const override { return receivedAt_; }
    void answer(http::ResponseHead head, std::string body) override
    {
        head_ = std::move(head);
        body_ = std::move(body);
    }
    void beginAnswer(http::ResponseHead head) override { head_ = std::move(head); }
    void sendPiece(std::string_view piece) override { pieces_ += piece; }
    void endAnswer() override { hasEnded_ = true; }
    void breakOff() override { isBrokenOff_ = true; }
    bool hasCallerDisconnected() const override { return false; }
    void setDisconnectHandler(std::function<void()>) override { }
    std::size_t unsentBytes() const override { return 0; }
    void setDrainedHandler(std::function<void()>) override { }

    /// 0 as long as there is no answer.
    unsigned status() const { return head_ ? head_->status : 0; }
    bool hasTimeToComeBack() const { return head_ && head_->headers.find("Retry-After").has_value(); }
    /// All that the caller received.
    std::string text() const
    {
        std::string all = std::to_string(status()) + pieces_;
        if (!head_)
            return all;
        for (const http::HeaderField& field : head_->headers.fields())
            all += field.name + ": " + field.value + "\n";
        return all + head_->reason + body_;
    }
    bool isBrokenOff() const { return isBrokenOff_; }
    bool hasEnded() const { return hasEnded_; }
    const std::string& pieces() const { return pieces_; }

private:
    http::Request request_;
    framework::SteadyTime receivedAt_ = std::chrono::steady_clock::now();
    std::optional<http::ResponseHead> head_;
    std::string body_;
    std::string pieces_;
    bool hasEnded_ = false;
    bool isBrokenOff_ = false;
};

class NoOrigins final : public streams::IStreamOrigins {
public:
    void record(const streams::DispatchRecord&) override { }
    void retract(const streams::DispatchRecord&, std::function<void(bool)> handler) override { handler(true); }
    void find(const streams::AttemptKey&, std::function<void(const streams::OriginAnswer&)> handler) override
    {
        handler({});
    }
};

class NoPermits final : public ratelimits::IServerPermits {
public:
    void share(const ratelimits::LimitStatement&, const framework::Endpoint&) override { }
    void ask(const ratelimits::PermitOrder&, std::function<void(const ratelimits::PermitReply&)>) override { }
    void withdraw(const ratelimits::PermitNumber&) override { }
};

class NoQuotas final : public quotas::ICustomerQuotas {
public:
    quotas::DrawNumber draw(const quotas::QuotaDraw&, std::function<void(const quotas::DrawReply&)>) override
    {
        return quotas::DrawNumber(1);
    }
    void withdraw(const quotas::DrawNumber&) override { }
    void giveBack(const quotas::QuotaDraw&) override { }
    void charge(const quotas::QuotaDraw&) override { }
};

} // namespace lagoon::forwarding
