#pragma once

#include "http/clientconnection.h"
#include "http/internal/answerreader.h"
#include "http/internal/messageoverhead.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace lagoon::http {

class TcpClientConnection final : public ClientConnection {
public:
    TcpClientConnection(boost::asio::io_context&, framework::Endpoint, const ClientOptions&, Observers);

    void send(const Request&, std::shared_ptr<IAnswerSink>) override;
    bool isReused() const override { return isReused_; }
    void abandon() override;
    void pause() override { isPaused_ = true; }
    void resume() override;
    bool isStale() override;
    framework::SteadyTime idleSince() const override { return idleSince_; }
    std::optional<framework::Milliseconds> keepAliveTimeout() const override { return keepAliveTimeout_; }

private:
    std::shared_ptr<TcpClientConnection> self();
    template <typename Action> void runGuarded(const Action&);
    void begin(const Request&, std::shared_ptr<IAnswerSink>);
    void connect();
    void resolve();
    void didResolve(const boost::system::error_code&, const boost::asio::ip::tcp::resolver::results_type&);
    void didConnect(const boost::system::error_code&);
    void write();
    void read();
    void didRead(const boost::system::error_code&, std::size_t);
    void beginAnswer();
    void parse();
    void failIfOverheadIsOver(std::size_t unparsed);
    void didParse();
    void deliverHead();
    void deliverBody();
    void finishAnswer();
    void finishAcceptedAnswer();
    void didEnd(const boost::system::error_code&);
    ClientStep readStep() const { return isHeadDelivered_ ? ClientStep::ReadBody : ClientStep::AwaitHead; }
    void fail(ClientStep, std::string detail, std::string quote = {});
    void close();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::ip::tcp::resolver resolver_;
    boost::asio::steady_timer connectTimer_;
    framework::Endpoint endpoint_;
    ClientOptions options_;
    Observers observers_;
    bool isConnected_ = false;
    bool isReused_ = false;
    bool isClosed_ = false;
    bool isReading_ = false;
    bool isPaused_ = false;
    bool mayHaveSentBytes_ = false;
    bool wasRefused_ = false;
    bool isSent_ = false;
    bool isHeadDelivered_ = false;
    bool isAccepted_ = false;
    bool expectsNoBody_ = false;
    unsigned mismatchedAnswers_ = 0;
    unsigned interimAnswers_ = 0;
    std::uint64_t discardedBytes_ = 0;
    /// Of all answers to the request that is pending.
    MessageOverhead overhead_;
    std::array<std::string, 2> outgoing_;
    boost::beast::flat_buffer buffer_;
    std::optional<AnswerReader> reader_;
    std::shared_ptr<IAnswerSink> sink_;
    framework::SteadyTime idleSince_ {};
    std::optional<framework::Milliseconds> keepAliveTimeout_;
};

} // namespace lagoon::http
