#pragma once

#include "framework/types/ids.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lagoon::objectstore {

struct ReceivedRequest {
    /// Number of the connection that the request was received on; the first connection is 1.
    unsigned connection = 0;
    std::string method;
    /// Path and query of the request line.
    std::string target;
    /// Header values by header name in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// What the server does with a request.
struct ServerAnswer {
    enum class Kind : std::uint8_t { Answer, CloseConnection, StaySilent };
    Kind kind = Kind::Answer;
    unsigned status = 200;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// A minimal HTTP/1.1 server for tests, which can close the connection or stay silent instead of answering. Serves one
/// request at a time and keeps connections open.
class TestServer {
public:
    using Handler = std::function<ServerAnswer(const ReceivedRequest&)>;

    explicit TestServer(Handler);
    ~TestServer();
    TestServer(const TestServer&) = delete;
    TestServer& operator=(const TestServer&) = delete;

    std::string url() const;
    std::vector<ReceivedRequest> receivedRequests() const;

private:
    class Connections;

    Handler handler_;
    mutable std::mutex mutex_;
    std::vector<ReceivedRequest> receivedRequests_;
    std::unique_ptr<Connections> connections_;
    std::thread thread_;
};

} // namespace lagoon::objectstore
