#include "fleet/storestandin.h"

#include "standins/common/standinprogram.h"

#include <chrono>

namespace lagoon::fleet {

using standins::Exchange;
using standins::replyError;
using web::json::value;

namespace {

const std::string objectsPath = "/-/objects/";

value number(std::uint64_t count) { return value::number(count); }

} // namespace

StoreStandin::StoreStandin()
    : server_([this](Exchange& exchange) { answer(exchange); })
    , endpoint_(server_.start(framework::Endpoint("127.0.0.1:0")).value().value())
{
}

value StoreStandin::json(const std::string& name, const Object& object)
{
    value made;
    made["metadata"]["name"] = value::string(name);
    made["metadata"]["revision"] = number(object.revision);
    made["metadata"]["created-at"] = number(object.created);
    made["spec"] = object.content;
    return made;
}

std::uint64_t StoreStandin::putLocked(const Key& key, const value& content)
{
    Object& object = objects_[key];
    object.content = content;
    object.revision = ++revision_;
    if (object.created == 0)
        object.created = revision_;
    value event;
    event["deleted"] = value::boolean(false);
    event["object"] = json(key.second, object);
    history_.push_back({ revision_, key.first, event });
    changed_.notify_all();
    return revision_;
}

std::uint64_t StoreStandin::put(const std::string& kind, const std::string& name, const value& content)
{
    const std::lock_guard lock(mutex_);
    return putLocked({ kind, name }, content);
}

void StoreStandin::putRaw(const std::string& kind, const std::string& name, const std::string& bytes)
{
    const std::lock_guard lock(mutex_);
    const std::string placeholder = "raw content " + std::to_string(rawContents_.size());
    rawContents_["\"" + placeholder + "\""] = bytes;
    putLocked({ kind, name }, value::string(placeholder));
}

void StoreStandin::reply(Exchange& exchange, const value& answer) const
{
    std::string text = answer.serialize();
    std::unique_lock lock(mutex_);
    for (const auto& [placeholder, bytes] : rawContents_) {
        for (std::size_t at = text.find(placeholder); at != std::string::npos;
             at = text.find(placeholder, at + bytes.size()))
            text.replace(at, placeholder.size(), bytes);
    }
    lock.unlock();
    exchange.reply(200, text, { { "Content-Type", "application/json" } });
}

void StoreStandin::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(mutex_);
    const auto object = objects_.find({ kind, name });
    if (object == objects_.end())
        return;
    value event;
    event["deleted"] = value::boolean(true);
    event["object"] = json(name, object->second);
    objects_.erase(object);
    history_.push_back({ ++revision_, kind, event });
    changed_.notify_all();
}

void StoreStandin::setUnavailable(bool isUnavailable)
{
    const std::lock_guard lock(mutex_);
    isUnavailable_ = isUnavailable;
    changed_.notify_all();
}

void StoreStandin::setReadAnswer(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    readAnswer_ = text;
    changed_.notify_all();
}

void StoreStandin::forgetHistory()
{
    const std::lock_guard lock(mutex_);
    history_.clear();
    historyFrom_ = ++revision_;
    changed_.notify_all();
}

std::size_t StoreStandin::calls() const
{
    const std::lock_guard lock(mutex_);
    return calls_;
}

bool StoreStandin::has(const std::string& kind, const std::string& name) const
{
    const std::lock_guard lock(mutex_);
    return objects_.contains({ kind, name });
}

void StoreStandin::answer(Exchange& exchange)
{
    std::unique_lock lock(mutex_);
    ++calls_;
    const bool isUnavailable = isUnavailable_;
    const std::string readAnswer = exchange.request().method == "GET" ? readAnswer_ : std::string();
    lock.unlock();
    if (isUnavailable)
        return replyError(exchange, 503, "away");
    if (!readAnswer.empty())
        return exchange.reply(200, readAnswer, { { "Content-Type", "application/json" } });
    const std::string& path = exchange.request().path;
    if (!path.starts_with(objectsPath))
        return replyError(exchange, 404, "no such path");
    const std::string rest = path.substr(objectsPath.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (exchange.request().method != "GET")
        return answerWrite(exchange, kind, name);
    if (!name.empty())
        return answerRead(exchange, kind, name);
    if (exchange.request().query.contains("watch"))
        return answerWatch(exchange, kind);
    answerList(exchange, kind);
}

void StoreStandin::answerRead(Exchange& exchange, const std::string& kind, const std::string& name)
{
    std::unique_lock lock(mutex_);
    const auto object = objects_.find({ kind, name });
    if (object == objects_.end()) {
        lock.unlock();
        return replyError(exchange, 404, "none");
    }
    const value found = json(name, object->second);
    lock.unlock();
    reply(exchange, found);
}

/// A page has two objects, so that a list has several pages.
void StoreStandin::answerList(Exchange& exchange, const std::string& kind)
{
    constexpr std::size_t page = 2;
    const auto after = exchange.request().query.find("after");
    const std::string from = after == exchange.request().query.end() ? std::string() : after->second;
    std::unique_lock lock(mutex_);
    value list;
    list["items"] = value::array();
    list["has-more"] = value::boolean(false);
    list["at"] = number(revision_);
    for (const auto& [key, object] : objects_) {
        if (key.first != kind || key.second <= from)
            continue;
        if (list["items"].size() == page) {
            list["has-more"] = value::boolean(true);
            break;
        }
        list["items"][list["items"].size()] = json(key.second, object);
    }
    lock.unlock();
    reply(exchange, list);
}

void StoreStandin::answerWatch(Exchange& exchange, const std::string& kind)
{
    const std::uint64_t since = exchange.request().queryNumber("watch", 0);
    const std::chrono::milliseconds wait(exchange.request().queryNumber("wait-time-ms", 0));
    std::unique_lock lock(mutex_);
    const auto hasChange = [&] {
        return isUnavailable_ || since < historyFrom_ || (!history_.empty() && history_.back().revision > since);
    };
    changed_.wait_for(lock, wait, hasChange);
    if (isUnavailable_ || since < historyFrom_) {
        const int status = isUnavailable_ ? 503 : 410;
        lock.unlock();
        return replyError(exchange, status, "history gone, or away");
    }
    value changes;
    changes["events"] = value::array();
    for (const Change& change : history_) {
        if (change.revision > since && change.kind == kind)
            changes["events"][changes["events"].size()] = change.event;
    }
    changes["at"] = number(revision_);
    lock.unlock();
    reply(exchange, changes);
}

void StoreStandin::answerWrite(Exchange& exchange, const std::string& kind, std::string name)
{
    const value body = standins::parseBody(exchange.request().body);
    const bool isCreation = exchange.request().method == "POST";
    if (isCreation)
        name = standins::textField(body.at("metadata"), "name");
    std::unique_lock lock(mutex_);
    const bool exists = objects_.contains({ kind, name });
    if (isCreation == exists) {
        lock.unlock();
        return replyError(exchange, exists ? 409 : 404, exists ? "exists" : "none");
    }
    putLocked({ kind, name }, body.at("spec"));
    const value written = json(name, objects_.at({ kind, name }));
    lock.unlock();
    reply(exchange, written);
}

} // namespace lagoon::fleet
