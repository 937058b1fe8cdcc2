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

/// Header names are in lower case, as are a request's.
using HeaderMap = std::map<std::string, std::string>;

struct HttpRequest {
    std::string method;
    /// Without the query; as sent.
    std::string path;
    /// Decoded.
    std::map<std::string, std::string> query;
    HeaderMap headers;
    std::string body;

    std::string header(const std::string& name) const;
    std::uint64_t queryNumber(const std::string& name, std::uint64_t fallback) const;
};

/// One request and its answer. All calls block and belong to the connection's thread.
class Exchange {
public:
    virtual ~Exchange() = default;
    virtual const HttpRequest& request() const = 0;

    virtual void reply(int status, const std::string& body, const HeaderMap& = {}) = 0;
    /// A chunked answer: this, `sendChunk`s and `endStream`.
    virtual void beginStream(int status, const HeaderMap&) = 0;
    virtual void sendChunk(const std::string&) = 0;
    virtual void endStream() = 0;
    /// Closes the connection, whatever of the answer has been sent.
    virtual void dropConnection() = 0;

    /// Sleeps; returns early, with true, when the caller has closed the connection.
    virtual bool waitForCallerGone(framework::Milliseconds) = 0;
};

/// A small HTTP server with a thread for each connection, so that handlers may block and hang.
///
/// Made with Boost.Beast: cpprest's listener offers no way to close a connection before its answer, which is the
/// failure that a call that may not be repeated must be tested with, and doesn't tell when the caller has gone.
class HttpServer {
public:
    using Handler = std::function<void(Exchange&)>;

    explicit HttpServer(Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listens (port 0: any free one) and returns the endpoint in use. The server's threads end with the process.
    framework::Result<framework::Endpoint> start(const framework::Endpoint&);

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lagoon::standins
