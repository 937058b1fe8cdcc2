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

constexpr std::size_t maxChunkBytes = 64 * 1024;
constexpr std::size_t minChunkBytes = 1024;
constexpr const char* step = "receive body";
constexpr framework::Milliseconds retryDelay { 1000 };

class BodyReader : public std::enable_shared_from_this<BodyReader> {
public:
    BodyReader(const web::http::http_request& request, BodyLimits limits,
        std::function<void(framework::Result<std::string>)> done)
        : request_(request)
        , limits_(std::move(limits))
        , done_(std::move(done))
        , timer_(crossplat::threadpool::shared_instance().service())
    {
    }

    void start()
    {
        // Refuses a body with a too large Content-Length before reading any of it.
        utility::size64_t announced = 0;
        const bool isAnnounced = request_.headers().match(web::http::header_names::content_length, announced);
        if (announced > limits_.bytes) {
            fail(tooLarge());
        }
        chunk_.resize(isAnnounced ? std::clamp<std::size_t>(announced, minChunkBytes, maxChunkBytes) : maxChunkBytes);
        // cpprest waits without a time limit, so a caller that announces a body and never sends it would occupy its
        // slot forever.
        timer_.expires_at(limits_.deadline.at());
        timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
            const auto self = weak.lock();
            if (!error && self)
                self->fail({ ErrorCode::DeadlinePassed, step, "", "the body didn't arrive in time" });
        });
        readChunk();
    }

private:
    Error tooLarge() const
    {
        return { ErrorCode::TooLarge, step, "", "the body is larger than " + std::to_string(limits_.bytes) + " bytes" };
    }

    void readChunk()
    {
        request_.body()
            .streambuf()
            .getn(chunk_.data(), chunk_.size())
            .then([self = shared_from_this()](const pplx::task<std::size_t>& read) {
                try {
                    self->handleChunk(read.get());
                } catch (const std::exception&) {
                    self->fail({ ErrorCode::CallerGone, step, "", "the body broke off" });
                }
            });
    }

    void handleChunk(std::size_t size)
    {
        if (size == 0) {
            complete(std::move(body_));
            return;
        }
        received_ += size;
        if (!isDone_)
            appendChunk(size);
        // The rest of a refused body is read and discarded too, since unread bytes would accumulate in cpprest's
        // buffer.
        readChunk();
    }

    void appendChunk(std::size_t size)
    {
        if (received_ > limits_.bytes)
            fail(tooLarge());
        else if (limits_.reservation && !limits_.reservation->grow(size))
            fail({ ErrorCode::TooManyWaiting, step, "", "the bodies of all requests take too much memory",
                framework::Execution::NotRun, retryDelay });
        else if (limits_.reservation)
            body_.append(reinterpret_cast<const char*>(chunk_.data()), size);
    }

    void fail(Error error)
    {
        if (!isDone_.exchange(true))
            report(std::move(error));
    }

    void complete(framework::Result<std::string> result)
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
    BodyLimits limits_;
    std::function<void(framework::Result<std::string>)> done_;
    boost::asio::steady_timer timer_;
    std::vector<std::uint8_t> chunk_;
    std::string body_;
    std::size_t received_ = 0;
    std::atomic<bool> isDone_ = false;
};

} // namespace

void readBody(
    const web::http::http_request& request, BodyLimits limits, std::function<void(framework::Result<std::string>)> done)
{
    std::make_shared<BodyReader>(request, std::move(limits), std::move(done))->start();
}

void discardBody(const web::http::http_request& request)
{
    constexpr auto unlimited = std::numeric_limits<std::size_t>::max();
    readBody(request, { unlimited, framework::Deadline(framework::SteadyTime::max()), nullptr },
        [](const framework::Result<std::string>&) {});
}

} // namespace lagoon::callers
