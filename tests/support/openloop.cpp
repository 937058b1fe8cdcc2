#include "support/openloop.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <cpprest/http_client.h>

namespace lagoon::testsupport {

using Clock = std::chrono::steady_clock;

struct OpenLoop::Call {
    TimedAnswer timed;
    std::unique_ptr<web::http::client::http_client> client;
    pplx::task<void> finished;
};

OpenLoop::OpenLoop() = default;
OpenLoop::~OpenLoop() { finish(); }

void OpenLoop::begin(const HttpCall& call, const std::string& label)
{
    const auto pending = std::make_shared<Call>();
    web::http::client::http_client_config config;
    config.set_timeout(call.idleTimeout);
    const web::uri url(call.url);
    pending->client = std::make_unique<web::http::client::http_client>(url.authority(), config);
    pending->timed.label = label;
    web::http::http_request request(call.method);
    request.set_request_uri(url.resource());
    if (!call.body.empty())
        request.set_body(call.body, "application/json");
    for (const auto& [name, value] : call.headers)
        request.headers()[name] = value;
    pending->timed.startedAt = Clock::now();
    TimedAnswer& timed = pending->timed;
    pending->finished = pending->client->request(request)
                            .then([&timed](const web::http::http_response& response) {
                                timed.answer.status = response.status_code();
                                for (const auto& [name, value] : response.headers())
                                    timed.answer.headers[boost::to_lower_copy(name)] = value;
                                return response.extract_utf8string(true);
                            })
                            .then([&timed](const pplx::task<std::string>& body) {
                                try {
                                    timed.answer.body = body.get();
                                } catch (const std::exception& exception) {
                                    timed.answer.failure = std::string("failed: ") + exception.what();
                                }
                                timed.seconds = std::chrono::duration<double>(Clock::now() - timed.startedAt).count();
                            });
    calls_.push_back(pending);
}

std::size_t OpenLoop::size() const { return calls_.size(); }

std::vector<TimedAnswer> OpenLoop::finish()
{
    std::vector<TimedAnswer> answers;
    for (const std::shared_ptr<Call>& call : calls_) {
        call->finished.wait();
        answers.push_back(std::move(call->timed));
    }
    calls_.clear();
    return answers;
}

} // namespace lagoon::testsupport
