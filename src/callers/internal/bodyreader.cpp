#include "callers/internal/bodyreader.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <memory>
#include <pplx/threadpool.h>
#include <vector>

namespace lagoon::callers {

namespace {

using framework::Error;
using framework::ErrorCode;

constexpr std::size_t largestPiece = 64 * 1024;
constexpr std::size_t leastPiece = 1024;
constexpr const char* step = "receive body";
constexpr framework::Milliseconds comeBackAfter { 1000 };

class BodyReader : public std::enable_shared_from_this<BodyReader> {
public:
    BodyReader(const web::http::http_request& request, BodyBounds bounds,
        std::function<void(framework::Result<std::string>)> done)
        : request_(request)
        , bounds_(std::move(bounds))
        , done_(std::move(done))
        , timer_(crossplat::threadpool::shared_instance().service())
    {
    }

    void start()
    {
        // Announced: refused before a byte of it is read.
        utility::size64_t announced = 0;
        const bool isAnnounced = request_.headers().match(web::http::header_names::content_length, announced);
        if (announced > bounds_.bytes) {
            giveUp(tooLarge());
        }
        piece_.resize(isAnnounced ? std::clamp<std::size_t>(announced, leastPiece, largestPiece) : largestPiece);
        // A caller that announces a body and never sends it would hold its place for ever: cpprest waits without end.
        timer_.expires_at(bounds_.deadline.at());
        timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
            const auto self = weak.lock();
            if (!error && self)
                self->giveUp({ ErrorCode::DeadlinePassed, step, "", "the body didn't arrive in time" });
        });
        readPiece();
    }

private:
    Error tooLarge() const
    {
        return { ErrorCode::TooLarge, step, "", "the body is larger than " + std::to_string(bounds_.bytes) + " bytes" };
    }

    void readPiece()
    {
        request_.body()
            .streambuf()
            .getn(piece_.data(), piece_.size())
            .then([self = shared_from_this()](const pplx::task<std::size_t>& read) {
                try {
                    self->take(read.get());
                } catch (const std::exception&) {
                    self->giveUp({ ErrorCode::CallerGone, step, "", "the body broke off" });
                }
            });
    }

    void take(std::size_t size)
    {
        if (size == 0) {
            conclude(std::move(body_));
            return;
        }
        received_ += size;
        if (!isDone_)
            keep(size);
        // What follows a refusal is read all the same, and dropped: unread, it would pile up in cpprest's buffer.
        readPiece();
    }

    void keep(std::size_t size)
    {
        if (received_ > bounds_.bytes)
            giveUp(tooLarge());
        else if (bounds_.reservation && !bounds_.reservation->grow(size))
            giveUp({ ErrorCode::TooManyWaiting, step, "", "the bodies of all requests take too much memory",
                framework::Execution::NotRun, comeBackAfter });
        else if (bounds_.reservation)
            body_.append(reinterpret_cast<const char*>(piece_.data()), size);
    }

    void giveUp(Error error)
    {
        if (!isDone_.exchange(true))
            report(std::move(error));
    }

    void conclude(framework::Result<std::string> result)
    {
        if (!isDone_.exchange(true))
            report(std::move(result));
    }

    void report(framework::Result<std::string> result)
    {
        done_(std::move(result));
        done_ = nullptr;
        boost::asio::post(timer_.get_executor(), [self = shared_from_this()] { self->timer_.cancel(); });
    }

    web::http::http_request request_;
    BodyBounds bounds_;
    std::function<void(framework::Result<std::string>)> done_;
    boost::asio::steady_timer timer_;
    std::vector<std::uint8_t> piece_;
    std::string body_;
    std::size_t received_ = 0;
    std::atomic<bool> isDone_ = false;
};

} // namespace

void readBody(
    const web::http::http_request& request, BodyBounds bounds, std::function<void(framework::Result<std::string>)> done)
{
    std::make_shared<BodyReader>(request, std::move(bounds), std::move(done))->start();
}

void discardBody(const web::http::http_request& request)
{
    constexpr auto noBound = std::numeric_limits<std::size_t>::max();
    readBody(request, { noBound, framework::Deadline(framework::SteadyTime::max()), nullptr },
        [](const framework::Result<std::string>&) {});
}

} // namespace lagoon::callers
