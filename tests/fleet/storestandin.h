#pragma once

#include "standins/common/httpserver.h"

#include <condition_variable>
#include <cpprest/json.h>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// Stand-ins, in the test's own process, for the parts of the users' platform that the direct processes communicate
/// with.
namespace lagoon::fleet {

/// The platform's metadata store: holds objects by kind and supports reads, lists, watches and writes.
class StoreStandin {
public:
    StoreStandin();

    std::string endpoint() const { return endpoint_; }
    /// Writes an object as an operator or a server would. Returns the new revision.
    std::uint64_t put(const std::string& kind, const std::string& name, const web::json::value& content);
    /// Writes an object whose content is bytes that need not be JSON. Answers contain the bytes unchanged.
    void putRaw(const std::string& kind, const std::string& name, const std::string& bytes);
    void remove(const std::string& kind, const std::string& name);
    /// While unavailable, the store answers all requests with 503.
    void setUnavailable(bool isUnavailable);
    /// While not empty, the text is the answer to all reads.
    void setReadAnswer(const std::string& text);
    /// Discards the history of changes: watches from an earlier revision are answered with 410.
    void forgetHistory();
    /// The number of requests received.
    std::size_t calls() const;
    bool has(const std::string& kind, const std::string& name) const;

private:
    struct Object {
        web::json::value content;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        web::json::value event;
    };
    using Key = std::pair<std::string, std::string>;

    void answer(standins::Exchange&);
    void answerRead(standins::Exchange&, const std::string& kind, const std::string& name);
    void answerList(standins::Exchange&, const std::string& kind);
    void answerWatch(standins::Exchange&, const std::string& kind);
    void answerWrite(standins::Exchange&, const std::string& kind, std::string name);
    std::uint64_t putLocked(const Key&, const web::json::value& content);
    /// Replies with the JSON, with raw contents put in for their placeholders.
    void reply(standins::Exchange&, const web::json::value&) const;
    static web::json::value json(const std::string& name, const Object&);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Object> objects_;
    std::vector<Change> history_;
    /// The raw contents by their placeholders in the stored objects.
    std::map<std::string, std::string> rawContents_;
    std::uint64_t revision_ = 1;
    std::uint64_t historyFrom_ = 0;
    bool isUnavailable_ = false;
    std::string readAnswer_;
    std::size_t calls_ = 0;
    standins::HttpServer server_;
    std::string endpoint_;
};

} // namespace lagoon::fleet
