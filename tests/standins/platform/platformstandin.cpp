#include "standins/platform/platformstandin.h"

#include <thread>

namespace lagoon::standins {

using framework::CheckedObject;
using framework::Milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t maxValueBytes = 1024 * 1024;
/// How often calls that wait for a new VM list check whether a delayed one has become visible.
constexpr Milliseconds pollInterval { 20 };
const std::string objectPrefix = "/v1/objects/";

std::string etagOf(std::uint64_t version) { return "\"" + std::to_string(version) + "\""; }

/// Parses an ETag of the form `"<version>"`. Returns nothing if the header has another form.
std::optional<std::uint64_t> versionOf(const std::string& tag)
{
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    const std::string digits = tag.substr(1, tag.size() - 2);
    if (digits.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return std::strtoull(digits.c_str(), nullptr, 10);
}

void replyObject(Exchange& exchange, const ObjectTable::Object& object)
{
    exchange.reply(200, object.value, { { "etag", etagOf(object.version) } });
}

} // namespace

void PlatformStandin::answer(Exchange& exchange)
{
    const HttpRequest& request = exchange.request();
    if (request.path == "/standin/vms" && request.method == "PUT")
        setVms(exchange);
    else if (request.path == "/v1/vms" && request.method == "GET")
        listVms(exchange);
    else if (request.path == "/v1/objects" && request.method == "GET")
        list(exchange);
    else if (request.path.compare(0, objectPrefix.size(), objectPrefix) == 0)
        answerObject(exchange, request.path.substr(objectPrefix.size()));
    else
        replyError(exchange, 404, "no_such_path");
}

void PlatformStandin::answerObject(Exchange& exchange, const std::string& key)
{
    const HttpRequest& request = exchange.request();
    if (request.method == "GET" && request.query.count("watch") > 0)
        watch(exchange, key);
    else if (request.method == "GET")
        get(exchange, key);
    else if (request.method == "PUT")
        put(exchange, key);
    else if (request.method == "DELETE")
        remove(exchange, key);
    else
        replyError(exchange, 405, "no_such_method");
}

void PlatformStandin::countCall(const std::string& kind)
{
    const std::lock_guard lock(mutex_);
    ++calls_[kind];
}

bool PlatformStandin::injectOutage(Exchange& exchange)
{
    std::unique_lock lock(mutex_);
    if (callDelay_.count() > 0) {
        const Milliseconds callDelay = callDelay_;
        lock.unlock();
        std::this_thread::sleep_for(callDelay);
        lock.lock();
    }
    if (mode_ == Mode::Up)
        return false;
    if (mode_ == Mode::Refuse) {
        lock.unlock();
        exchange.reply(503, "", { { "retry-after", "1" } });
        return true;
    }
    changed_.wait(lock, [this] { return mode_ != Mode::Hang; });
    lock.unlock();
    exchange.dropConnection();
    return true;
}

void PlatformStandin::get(Exchange& exchange, const std::string& key)
{
    countCall("get");
    if (injectOutage(exchange))
        return;
    std::unique_lock lock(mutex_);
    const auto object = objects_.get(key);
    lock.unlock();
    if (object)
        replyObject(exchange, *object);
    else
        replyError(exchange, 404, "not_found");
}

void PlatformStandin::watch(Exchange& exchange, const std::string& key)
{
    countCall("watch");
    if (injectOutage(exchange))
        return;
    const std::uint64_t known = exchange.request().queryNumber("watch", 0);
    const auto deadline = steady_clock::now() + Milliseconds(exchange.request().queryNumber("timeout_ms", 0));
    std::unique_lock lock(mutex_);
    const auto currentVersion = [&] {
        const auto object = objects_.get(key);
        return object ? object->version : 0;
    };
    changed_.wait_until(lock, deadline, [&] { return mode_ != Mode::Up || currentVersion() != known; });
    const bool isUp = mode_ == Mode::Up;
    const auto object = objects_.get(key);
    lock.unlock();
    if (!isUp && injectOutage(exchange))
        return;
    if (object && object->version != known)
        replyObject(exchange, *object);
    else if (!object && known != 0)
        replyError(exchange, 404, "not_found");
    else
        exchange.reply(304, "");
}

void PlatformStandin::put(Exchange& exchange, const std::string& key)
{
    countCall("put");
    if (injectOutage(exchange))
        return;
    const HttpRequest& request = exchange.request();
    std::optional<std::uint64_t> expected = versionOf(request.header("if-match"));
    if (request.header("if-none-match") == "*")
        expected = 0;
    if (!expected)
        return replyError(exchange, 400, "no_condition");
    if (request.body.size() > maxValueBytes)
        return replyError(exchange, 413, "too_large");
    std::unique_lock lock(mutex_);
    const WriteOutcome outcome = objects_.put(key, request.body, *expected);
    const auto object = objects_.get(key);
    lock.unlock();
    finishWrite(exchange, key, outcome, object ? object->version : 0);
}

void PlatformStandin::remove(Exchange& exchange, const std::string& key)
{
    countCall("delete");
    if (injectOutage(exchange))
        return;
    const auto expected = versionOf(exchange.request().header("if-match"));
    if (!expected)
        return replyError(exchange, 400, "no_condition");
    std::unique_lock lock(mutex_);
    const WriteOutcome outcome = objects_.remove(key, *expected);
    lock.unlock();
    finishWrite(exchange, key, outcome, *expected);
}

bool PlatformStandin::tryTakeAnswerLoss(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    if (answersToLose_ == 0 || key.compare(0, answerLossPrefix_.size(), answerLossPrefix_) != 0)
        return false;
    --answersToLose_;
    ++lostAnswers_;
    return true;
}

void PlatformStandin::finishWrite(
    Exchange& exchange, const std::string& key, WriteOutcome outcome, std::uint64_t version)
{
    if (outcome == WriteOutcome::NotFound)
        return replyError(exchange, 404, "not_found");
    if (outcome == WriteOutcome::WrongVersion)
        return replyError(exchange, 412, "wrong_version");
    changed_.notify_all();
    if (tryTakeAnswerLoss(key))
        exchange.dropConnection();
    else
        exchange.reply(200, "", { { "etag", etagOf(version) } });
}

void PlatformStandin::list(Exchange& exchange)
{
    countCall("list");
    if (injectOutage(exchange))
        return;
    const auto prefix = exchange.request().query.find("prefix");
    std::unique_lock lock(mutex_);
    const auto keys = objects_.list(prefix == exchange.request().query.end() ? "" : prefix->second);
    lock.unlock();
    web::json::value objects = web::json::value::array();
    for (const auto& [key, version] : keys) {
        web::json::value object;
        object["key"] = web::json::value::string(key);
        object["version"] = web::json::value::number(version);
        objects[objects.size()] = object;
    }
    web::json::value body;
    body["objects"] = objects;
    replyJson(exchange, 200, body);
}

void PlatformStandin::listVms(Exchange& exchange)
{
    countCall("vms");
    if (injectOutage(exchange))
        return;
    const std::uint64_t known = exchange.request().queryNumber("known", 0);
    const auto deadline = steady_clock::now() + Milliseconds(exchange.request().queryNumber("timeout_ms", 0));
    std::unique_lock lock(mutex_);
    vms_.advance(steady_clock::now());
    while (mode_ == Mode::Up && vms_.version() == known && steady_clock::now() < deadline) {
        changed_.wait_until(lock, std::min(deadline, steady_clock::now() + pollInterval));
        vms_.advance(steady_clock::now());
    }
    const bool isUp = mode_ == Mode::Up;
    web::json::value body;
    body["version"] = web::json::value::number(vms_.version());
    body["vms"] = vms_.vms();
    lock.unlock();
    if (isUp || !injectOutage(exchange))
        replyJson(exchange, 200, body);
}

void PlatformStandin::setVms(Exchange& exchange)
{
    const web::json::value body = parseBody(exchange.request().body);
    if (!body.has_array_field("vms"))
        return replyError(exchange, 400, "no_vms");
    std::unique_lock lock(mutex_);
    vms_.set(body.at("vms"), steady_clock::now() + vmListDelay_);
    lock.unlock();
    changed_.notify_all();
    exchange.reply(200, "{}");
}

framework::Result<void> PlatformStandin::setFaults(const web::json::value& json)
{
    CheckedObject faults(json, "faults", "", framework::ErrorCode::BadRequest);
    const std::unique_lock lock(mutex_);
    if (faults.has("mode")) {
        const std::string mode = faults.choiceOr("mode", "up", { "up", "refuse", "hang" });
        mode_ = mode == "up" ? Mode::Up : mode == "refuse" ? Mode::Refuse : Mode::Hang;
    }
    callDelay_ = Milliseconds(faults.numberOr("slow_ms", callDelay_.count(), 0, 600000));
    if (faults.has("lose_answers")) {
        CheckedObject lost = faults.object("lose_answers");
        answersToLose_ = lost.number("count", 0, 1000000);
        answerLossPrefix_ = lost.textOr("prefix", "");
    }
    if (faults.has("vms_frozen"))
        vms_.setFrozen(faults.flagOr("vms_frozen", false));
    vmListDelay_ = Milliseconds(faults.numberOr("vms_late_ms", vmListDelay_.count(), 0, 600000));
    changed_.notify_all();
    return faults.finish();
}

web::json::value PlatformStandin::record()
{
    const std::lock_guard lock(mutex_);
    web::json::value calls = web::json::value::object();
    for (const auto& [kind, number] : calls_)
        calls[kind] = web::json::value::number(number);
    web::json::value record;
    record["calls"] = calls;
    record["lost_answers"] = web::json::value::number(lostAnswers_);
    return record;
}

} // namespace lagoon::standins
