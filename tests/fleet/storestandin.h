#pragma once

#include "standins/common/httpserver.h"

#include <condition_variable>
#include <cpprest/json.h>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// Stand-ins for what the users' platform has around the direct processes, in the test's own process.
namespace lagoon::fleet {

/// The platform's metadata store: objects by kind, with lists, watches and writes.
class StoreStandin {
public:
    StoreStandin();

    std::string endpoint() const { return endpoint_; }
    /// Writes as the operator or a server would; returns the new revision.
    std::uint64_t put(const std::string& kind, const std::string& name, const web::json::value& content);
    /// Writes bytes that needn't be JSON, and that answers contain as they are.
    void putRaw(const std::string& kind, const std::string& name, const std::string& bytes);
    void remove(const std::string& kind, const std::string& name);
    /// While it is away it answers 503 to all.
    void setUnavailable(bool isUnavailable);
    /// From now on no watch from before is answered.
    void forgetHistory();
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
    /// Answers with the raw contents in their places.
    void reply(standins::Exchange&, const web::json::value&) const;
    static web::json::value json(const std::string& name, const Object&);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Object> objects_;
    std::vector<Change> history_;
    /// By the content that stands for them.
    std::map<std::string, std::string> rawContents_;
    std::uint64_t revision_ = 1;
    std::uint64_t historyFrom_ = 0;
    bool isUnavailable_ = false;
    std::size_t calls_ = 0;
    standins::HttpServer server_;
    std::string endpoint_;
};

} // namespace lagoon::fleet
