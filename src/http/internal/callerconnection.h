#pragma once

#include "framework/eventloop.h"
#include "framework/eventthread.h"
#include "http/exchangeserver.h"
#include "http/internal/incomingrequest.h"
#include "http/internal/sendqueue.h"
#include "http/internal/socketoptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lagoon::http {

class CallerConnection;
class CallerExchange;

constexpr std::size_t mebibyte = 1024 * 1024;
constexpr ByteBudget::Limits defaultBudget { 64 * mebibyte, 32 * mebibyte, 32 * mebibyte, 32 * mebibyte };

/// State shared by all connections of a server.
struct ConnectionContext {
    explicit ConnectionContext(IExchangeHandler& exchangeHandler)
        : handler(exchangeHandler)
    {
    }

    IExchangeHandler& handler;
    ExchangeLimits limits;
    std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(defaultBudget);
    ResponseHead budgetRefusal { 503, {}, {} };
    std::function<void(const UnreadRefusal&)> didRefuse;
    /// Null if refusals have a head only.
    IRefusalWriter* refusalWriter = nullptr;
    /// Makes room for the connection's body by refusing one that is slower. Returns false if there is none.
    std::function<bool(const CallerConnection&)> refuseSlowerBody;
    std::function<void(const DroppedAnswers&)> didDropAnswers;
    /// Answers announce that their connections close.
    bool isDraining = false;
    /// Connections are closed once they are idle.
    bool closesIdle = false;
};

/// One accepted connection: repeatedly reads a request, passes it to the handler and writes its answer, until either
/// side closes the connection.
///
/// It also reads while a request is handled, so that a disconnect is detected at once. Bytes that arrive early are kept
/// for the next request.
class CallerConnection final : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(boost::asio::ip::tcp::socket, std::shared_ptr<ConnectionContext>,
        std::function<void(CallerConnection*)> onClosed);

    void start();
    /// Returns whether a request is being received or handled, an answer is still being sent, or the connection closes
    /// by itself.
    bool isBusy() const;
    /// Closes the connection if no request has arrived or is in progress, once its caller has had time to send one.
    void closeWhenIdle();
    /// Until when a request is likely to be on its way on an idle connection. std::nullopt during a request, until its
    /// answer is written, and while the connection closes.
    std::optional<framework::Deadline> openUntil() const;
    /// Closes the connection if no request has arrived or is in progress.
    void closeIfIdle();
    /// Refuses a partially received request with this head, and stops reading it.
    void refuseIncomplete(const ResponseHead&, const std::string& cause);
    /// What the connection is needed for, from the least to the most.
    enum class Need : std::uint8_t {
        Lingering, ///< its last answer is sent, and the caller hasn't closed it yet
        Idle, ///< no request is likely to be on its way
        Receiving, ///< a request is being received, or likely to be on its way
        Answering, ///< a request is being handled or answered
    };
    Need need(framework::SteadyTime now) const;
    /// When the current state of `Lingering`, `Idle` or `Receiving` began.
    framework::SteadyTime needSince() const { return needSince_; }
    /// Frees the descriptor, if the connection isn't needed for an answer. A request that is being received is refused
    /// first, and its connection lingers.
    void makeRoom();
    /// What an unfinished body holds in the budget; null if there is none.
    const ByteReservation* unfinishedBody() const;
    /// The part of the unfinished request that has arrived lately.
    double recentShareOfRequest(framework::SteadyTime now) const;
    /// Closes the connection at once. The handler of a request in progress is notified of the disconnect.
    void closeNow();

    // Called by the exchange.
    void answer(ResponseHead, std::string body);
    void beginAnswer(ResponseHead);
    void sendPiece(std::string_view);
    void endAnswer();
    void breakOff();
    /// Runs the action of an event or of the handler. If it throws, the connection's request fails.
    template <typename Action> void runGuarded(Action);
    /// Called if the handler destroyed the exchange without an answer.
    void failDropped() noexcept;
    std::size_t unsentBytes() const { return unsent_.bytes(); }
    double recentShareOfAnswers(framework::SteadyTime now) const { return unsent_.recentShare(now); }
    void dropUnreadAnswers(const std::string& cause);
    /// Drops the answers of a caller that reads them too slowly.
    void checkAnswerProgress(framework::SteadyTime now);
    bool hasCallerDisconnected();

private:
    enum class Stage : std::uint8_t {
        Idle, ///< between requests
        Reading, ///< receiving a request
        Handling, ///< request passed to the handler, answer incomplete
        Closing, ///< sending the rest of the last answer before closing
        Closed,
    };

    void failAfterException() noexcept;
    void failRequest();
    void closeAfterAnswer();
    void read();
    void didRead(const boost::system::error_code&, std::size_t);
    void commitRead(std::size_t bytes);
    void parse();
    void beginRequest();
    void didParse(const boost::system::error_code&);
    void refuseIfOverheadIsOver(std::size_t unparsed);
    void reserveBody();
    void growReceiveBuffer();
    bool didRefuseHead();
    bool didRefuseBody(const Request& head);
    void handOver();
    void refuse(const ResponseHead&, const std::string& cause);
    void answerRefusal(Response);
    void addFraming(ResponseHead&, std::optional<std::size_t> length);
    /// Sends a part of an answer, which counts as unread until it is written.
    void sendAnswer(std::string);
    void send(std::string, std::unique_ptr<ByteReservation> = nullptr);
    void write();
    void didWrite(const boost::system::error_code&);
    void didWriteAll();
    bool isNextRequestPaused() const;
    void parseSentAhead();
    void finishAnswer();
    void becomeIdle();
    void expectNextRequest();
    bool isIdle() const;
    void setResetOnClose();
    void armTimer(framework::Milliseconds, void (CallerConnection::*onExpired)());
    void handleIdleTimeout();
    void handleHeaderTimeout();
    void expectBodyProgress();
    void checkBodyProgress();
    void linger();
    void armLingerTimer();
    void reset();
    void handleDisconnect();
    void close();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<ConnectionContext> context_;
    std::function<void(CallerConnection*)> onClosed_;
    Stage stage_ = Stage::Idle;
    bool isReading_ = false;
    bool isClosingIdle_ = false;
    bool closesWhenIdle_ = false;
    bool isLingering_ = false;
    bool isWriting_ = false;
    bool endsAfterAnswer_ = false;
    bool isChunked_ = false;
    /// Whether the caller may have received a part of the answer.
    bool hasBegunAnswer_ = false;
    boost::beast::flat_buffer buffer_;
    /// Where the pending read puts its bytes.
    boost::asio::mutable_buffer readTarget_;
    std::optional<IncomingRequest> incoming_;
    framework::SteadyTime needSince_ = std::chrono::steady_clock::now();
    std::weak_ptr<CallerExchange> exchange_;
    /// The head of a started answer, kept until its first piece.
    std::string pendingHead_;
    SendQueue unsent_;
    framework::Deadline openUntil_;
    framework::Deadline lingersUntil_;
    std::size_t receiveBuffer_ = minReceiveBuffer;
};

template <typename Action> void CallerConnection::runGuarded(Action action)
{
    try {
        action();
    } catch (...) {
        framework::reportException("a request or its connection");
        failAfterException();
    }
}

} // namespace lagoon::http
