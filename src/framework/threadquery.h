#pragma once

#include "framework/eventloop.h"
#include "framework/eventthread.h"

#include <future>
#include <optional>

namespace lagoon::framework {

/// Runs the query on the thread and waits for its result. Returns std::nullopt if it threw an exception.
template <typename Query> auto askThread(EventThread& thread, const Query& query) -> std::optional<decltype(query())>
{
    std::promise<std::optional<decltype(query())>> answer;
    thread.post([&] {
        std::optional<decltype(query())> result;
        try {
            result = query();
        } catch (...) {
            reportException("a query of another thread");
        }
        answer.set_value(std::move(result));
    });
    return answer.get_future().get();
}

} // namespace lagoon::framework
