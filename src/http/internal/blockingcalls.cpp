#include "http/blockingcalls.h"

#include <future>
#include <memory>

namespace lagoon::http {

using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::Result;

namespace {

constexpr ClientOptions clientOptions { .resolvesNames = true };

} // namespace

BlockingCalls::BlockingCalls(
    const framework::Endpoint& endpoint, const AnswerLimits& limits, CallClient::Connections connections)
    : client_(thread_, endpoint, limits, connections, clientOptions)
{
}

Result<Response> BlockingCalls::call(Request request, framework::Deadline deadline, const std::stop_token& stop)
{
    const Error dropped { ErrorCode::PlatformUnavailable, request.method + " " + request.target, "",
        "the call was dropped", Execution::Unknown };
    const auto answer = std::make_shared<std::promise<Result<Response>>>();
    std::future<Result<Response>> answered = answer->get_future();
    std::stop_source abandoned;
    const std::stop_callback giveUpOnStop(stop, [&abandoned] { abandoned.request_stop(); });
    client_.call(
        std::move(request), deadline, [answer](Result<Response> result) { answer->set_value(std::move(result)); },
        abandoned.get_token());
    const bool isLate = answered.wait_until(deadline.at()) != std::future_status::ready;
    if (isLate)
        abandoned.request_stop();
    try {
        Result<Response> result = answered.get();
        if (isLate && result.has_error())
            result.error().detail = "no answer in time";
        return result;
    } catch (const std::future_error&) {
        // An exception on the thread of the calls has dropped the handler.
        return dropped;
    }
}

} // namespace lagoon::http
