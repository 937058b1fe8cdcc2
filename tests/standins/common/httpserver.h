#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lagoon::standins {

/// Headers by name. All names are in lower case.
using HeaderMap = std::map<std::string, std::string>;

struct HttpRequest {
    std::string method;
    /// The path as sent, percent-encoded and without the query.
    std::string path;
    /// The names as sent and the decoded values of the query.
    std::map<std::string, std::string> query;
    HeaderMap headers;
    std::string body;

    /// The value of a header; empty if there is none. `name` is in lower case.
    std::string header(const std::string& name) const;
    /// The value of a query parameter, or the fallback if it is missing or isn't a decimal number.
    std::uint64_t queryNumber(const std::string& name, std::uint64_t fallback) const;
};

/// One request and its answer. All methods block and must be called on the connection's thread.
class Exchange {
public:
    virtual ~Exchange() = default;
    virtual const HttpRequest& request() const = 0;
    /// The number of the connection, counted over all servers of this process.
    virtual std::uint64_t connection() const = 0;

    virtual void reply(int status, const std::string& body, const HeaderMap& = {}) = 0;
    /// Starts an answer with chunked encoding. `sendChunk` sends its chunks and `endStream` ends it.
    virtual void beginStream(int status, const HeaderMap&) = 0;
    virtual void sendChunk(const std::string&) = 0;
    virtual void endStream() = 0;
    /// Closes the connection immediately, even if the answer is missing or incomplete.
    virtual void dropConnection() = 0;

    /// Waits for the duration. Returns true as soon as the caller has closed the connection.
    virtual bool waitForCallerGone(framework::Milliseconds) = 0;
};

/// A small HTTP server with a thread for each connection, so that handlers can block or hang.
///
/// It uses Boost.Beast because cpprest's listener can neither close a connection before the answer nor report that the
/// caller has disconnected. The former is the failure that calls which must not be repeated are tested with.
class HttpServer {
public:
    using Handler = std::function<void(Exchange&)>;

    explicit HttpServer(Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listens on the endpoint (port 0: any free port) and returns the endpoint in use. The server's threads run until
    /// the process ends.
    framework::Result<framework::Endpoint> start(const framework::Endpoint&);

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lagoon::standins
