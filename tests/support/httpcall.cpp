#include "support/httpcall.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <cpprest/http_client.h>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace lagoon::testsupport {

using web::http::http_request;
using web::http::http_response;

struct PendingCall::State {
    std::mutex mutex;
    HttpAnswer answer;
    pplx::cancellation_token_source cancellation;
    std::future<void> finished;
};

namespace {

http_request requestOf(const HttpCall& call)
{
    http_request request(call.method);
    request.set_request_uri(web::uri(call.url).resource());
    if (!call.body.empty())
        request.set_body(call.body, "application/json");
    for (const auto& [name, value] : call.headers)
        request.headers()[name] = value;
    return request;
}

web::http::client::http_client clientFor(const HttpCall& call)
{
    web::http::client::http_client_config config;
    config.set_timeout(call.idleTimeout);
    return { web::uri(call.url).authority(), config };
}

} // namespace

PendingCall::PendingCall(const HttpCall& call)
    : state_(std::make_shared<State>())
{
    state_->finished = std::async(std::launch::async, [call, state = state_] {
        const auto fail = [&](const std::string& why) {
            const std::lock_guard lock(state->mutex);
            state->answer.failure = why.empty() ? "failed" : why;
        };
        try {
            auto client = clientFor(call);
            const http_response response = client.request(requestOf(call), state->cancellation.get_token()).get();
            std::unique_lock lock(state->mutex);
            state->answer.status = response.status_code();
            for (const auto& [name, value] : response.headers())
                state->answer.headers[boost::to_lower_copy(name)] = value;
            lock.unlock();
            auto stream = response.body().streambuf();
            while (stream.getc().get() != std::char_traits<char>::eof()) {
                std::string bytes(std::max<std::size_t>(1, stream.in_avail()), '\0');
                const std::size_t count
                    = stream.getn(reinterpret_cast<std::uint8_t*>(bytes.data()), bytes.size()).get();
                lock.lock();
                state->answer.body.append(bytes, 0, count);
                lock.unlock();
            }
        } catch (const std::exception& exception) {
            fail(exception.what());
        }
    });
}

PendingCall::PendingCall(PendingCall&&) noexcept = default;
PendingCall& PendingCall::operator=(PendingCall&&) noexcept = default;

PendingCall::~PendingCall()
{
    if (state_ && !isFinished())
        disconnect();
}

bool PendingCall::isFinished() const
{
    return state_->finished.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

void PendingCall::disconnect() { state_->cancellation.cancel(); }

const HttpAnswer& PendingCall::answer()
{
    state_->finished.wait();
    return state_->answer;
}

std::string PendingCall::bodySoFar() const
{
    const std::lock_guard lock(state_->mutex);
    return state_->answer.body;
}

HttpAnswer call(const HttpCall& call) { return PendingCall(call).answer(); }

web::json::value HttpAnswer::json() const
{
    std::error_code error;
    web::json::value value = web::json::value::parse(body, error);
    return error ? web::json::value::null() : value;
}

std::string urlOf(const std::string& endpoint, const std::string& path) { return "http://" + endpoint + path; }

HttpAnswer getFrom(const std::string& endpoint, const std::string& path)
{
    return call({ .method = "GET", .url = urlOf(endpoint, path) });
}

web::json::value getJson(const std::string& endpoint, const std::string& path)
{
    const HttpAnswer answer = getFrom(endpoint, path);
    if (!answer.isComplete() || answer.status / 100 != 2)
        throw std::runtime_error("GET " + path + ": " + std::to_string(answer.status) + " " + answer.failure);
    return answer.json();
}

void sendJson(
    const std::string& method, const std::string& endpoint, const std::string& path, const web::json::value& value)
{
    const HttpAnswer answer = call({ .method = method, .url = urlOf(endpoint, path), .body = value.serialize() });
    if (!answer.isComplete() || answer.status / 100 != 2)
        throw std::runtime_error(
            method + " " + path + ": " + std::to_string(answer.status) + " " + answer.failure + " " + answer.body);
}

void setFaults(const std::string& endpoint, const std::string& json)
{
    sendJson("POST", endpoint, "/standin/faults", web::json::value::parse(json));
}

} // namespace lagoon::testsupport
