#include "objectstore/objectmirror.h"

#include "framework/decisionlog.h"
#include "framework/eventloop.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lagoon::objectstore {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::LogLine;
using framework::Milliseconds;
using framework::Result;
using framework::SteadyTime;

namespace {

/// Objects expire after their owners have missed several heartbeats, so a shorter outage doesn't make them expire.
constexpr Milliseconds minOutage { 500 };
/// Time from the removal of an object from the mirror until no other component uses it any more.
constexpr Milliseconds removalPropagation { 250 };
constexpr std::size_t maxLoggedName = 64;
/// How many objects a list may name, as a multiple of those that are copied.
constexpr std::size_t maxListFactor = 8;

Error endlessList(const std::string& kind)
{
    return Error { ErrorCode::TooLarge, "list " + kind, "", "a list that doesn't end" };
}

} // namespace

ObjectMirror::ObjectMirror(IObjectFeed& feed, framework::IControlExecutor& control, const framework::IClock& clock,
    const MirrorSettings& settings, Observers observers, std::uint64_t seed)
    : feed_(feed)
    , control_(control)
    , clock_(clock)
    , settings_(settings)
    , observers_(std::move(observers))
    , backoff_(settings.initialRetryDelay, settings.maxRetryDelay, seed)
    , failureBackoff_(settings.initialRetryDelay, settings.maxRetryDelay, seed)
{
}

ObjectMirror::~ObjectMirror() = default;

void ObjectMirror::start()
{
    answeredAt_ = clock_.now();
    answeringSince_ = clock_.now();
    list({});
}

void ObjectMirror::list(const std::string& after)
{
    if (after.empty()) {
        listed_.clear();
        listRevision_.reset();
        objectsInPages_ = 0;
        isFull_ = false;
    }
    sentAt_ = clock_.now();
    feed_.list(after, Deadline::after(clock_.now(), answerTimeout()),
        [this, alive = std::weak_ptr<int>(alive_)](Result<FeedPage> page) {
            if (!alive.expired())
                runGuarded([&] { handleList(std::move(page)); });
        });
}

void ObjectMirror::handleList(Result<FeedPage> page)
{
    if (page.has_error())
        return scheduleRetry(page.error(), [this] { list({}); });
    recordAnswer();
    // Pages are read at different revisions. The watch starts at the revision of the first page, so it reports what
    // changed between the pages.
    if (!listRevision_)
        listRevision_ = page.value().at;
    bool hasNew = false;
    for (const FeedObject& object : page.value().objects) {
        hasNew = hasNew || !listed_.contains(object.name);
        if (!hasRoomFor(object))
            continue;
        listed_.insert(object.name);
        applyObject(object);
    }
    objectsInPages_ += page.value().objects.size();
    if (page.value().hasMore && !page.value().objects.empty()) {
        // Nothing can be said about what an endless list doesn't name.
        if (!hasNew || objectsInPages_ > maxListFactor * settings_.maxObjects)
            return scheduleRetry(endlessList(settings_.kind), [this] { list({}); });
        return list(page.value().objects.back().name);
    }
    finishList();
}

void ObjectMirror::finishList()
{
    watchRevision_ = *listRevision_;
    std::vector<std::string> unlisted;
    for (const auto& [name, revision] : knownRevisions_) {
        if (!listed_.contains(name))
            unlisted.push_back(name);
    }
    hasListed_ = true;
    logDecision(LogLine("store_listed")
                    .text("kind", settings_.kind)
                    .number("objects", listed_.size())
                    .number("missing", unlisted.size())
                    .number("revision", watchRevision_.value()));
    for (const std::string& name : unlisted)
        handleMissing(name);
    failureBackoff_.reset();
    observers_.didList();
    observers_.didConfirm(answeredAt_);
    watch();
}

/// Prevents an empty list after an outage: entries that expired while the store was unavailable are missing when it
/// comes back, although their servers are running and register again within about two seconds.
void ObjectMirror::handleMissing(const std::string& name)
{
    if (missing_.contains(name))
        return;
    if (keepMissingUntil_.hasPassed(clock_.now()) || !knownRevisions_.contains(name))
        return remove(name, Removal::Deleted);
    missing_.emplace(name, keepMissingUntil_);
    logDecision(LogLine("store_missing")
                    .text("kind", settings_.kind)
                    .text("name", name)
                    .number("kept_ms", keepMissingUntil_.remaining(clock_.now()).count()));
    armMissingTimer();
}

/// Ignores a deletion that is older than the known object. Prevents the removal of an object that was deleted and
/// created again while the store was listed page by page: the watch that follows reports both.
void ObjectMirror::handleDeletion(const FeedObject& object)
{
    const auto known = knownRevisions_.find(object.name);
    const bool hasRevision = object.revision.value() > 0;
    if (hasRevision && known != knownRevisions_.end() && object.revision < known->second)
        return;
    handleMissing(object.name);
}

void ObjectMirror::armMissingTimer()
{
    const auto first = std::min_element(missing_.begin(), missing_.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    if (first != missing_.end())
        missingTimer_ = control_.runAt(first->second, [this] { removeMissing(); });
}

void ObjectMirror::removeMissing()
{
    const auto missing = missing_;
    for (const auto& [name, until] : missing) {
        if (!until.hasPassed(clock_.now()))
            continue;
        logDecision(LogLine("store_missing_removed").text("kind", settings_.kind).text("name", name));
        remove(name, Removal::Expired);
    }
    armMissingTimer();
}

/// Prevents a long watch from missing the end of an outage: a call that was sent while the store was silent is never
/// answered, and a watch may wait for long. During an outage each watch therefore asks for an immediate answer (wait of
/// 1 ms).
void ObjectMirror::watch()
{
    const Milliseconds wait = outage_ ? Milliseconds(1) : settings_.watchWait;
    sentAt_ = clock_.now();
    feed_.watch(watchRevision_, wait, Deadline::after(clock_.now(), wait + answerTimeout()),
        [this, alive = std::weak_ptr<int>(alive_)](Result<FeedChanges> changes) {
            if (!alive.expired())
                runGuarded([&] { handleWatch(std::move(changes)); });
        });
}

void ObjectMirror::handleWatch(Result<FeedChanges> changes)
{
    if (changes.has_error()) {
        if (changes.error().code == ErrorCode::NotFound || changes.error().code == ErrorCode::TooLarge) {
            logDecision(LogLine("store_history_gone")
                            .text("kind", settings_.kind)
                            .number("revision", watchRevision_.value())
                            .text("cause", describe(changes.error())));
            return runAfter(backoff_.next(), [this] { list({}); });
        }
        return scheduleRetry(changes.error(), [this] { watch(); });
    }
    recordAnswer();
    for (const FeedEvent& event : changes.value().events) {
        if (event.isDeleted)
            handleDeletion(event.object);
        else if (hasRoomFor(event.object))
            applyObject(event.object);
    }
    if (changes.value().at > watchRevision_)
        watchRevision_ = changes.value().at;
    observers_.didConfirm(answeredAt_);
    if (hasRoomAgain())
        return runAfter(failureBackoff_.next(), [this] { list({}); });
    if (changes.value().events.empty() || settings_.pauseAfterChange.count() == 0)
        return watch();
    runAfter(settings_.pauseAfterChange, [this] { watch(); });
}

/// Prevents a store that lists objects without end from using up the memory.
bool ObjectMirror::hasRoomFor(const FeedObject& object)
{
    if (knownRevisions_.contains(object.name) || knownRevisions_.size() < settings_.maxObjects)
        return true;
    if (!std::exchange(isFull_, true))
        logDecision(LogLine("store_objects_left_out")
                        .text("kind", settings_.kind)
                        .number("objects", knownRevisions_.size())
                        .text("first", object.name.substr(0, maxLoggedName)));
    return false;
}

/// Whether objects that were left out can be copied now. Requires much room, so that a list follows only after many
/// deletions.
bool ObjectMirror::hasRoomAgain() const { return isFull_ && knownRevisions_.size() < settings_.maxObjects / 4 * 3; }

/// Applies an object unless its revision is known already. Prevents a stale state from replacing a newer one: a list
/// may be answered late, or by a store replica that lags behind.
void ObjectMirror::applyObject(const FeedObject& object)
{
    missing_.erase(object.name);
    const auto known = knownRevisions_.find(object.name);
    if (known != knownRevisions_.end() && object.revision <= known->second)
        return;
    observers_.didChange(object);
    knownRevisions_[object.name] = object.revision;
}

void ObjectMirror::remove(const std::string& name, Removal removal)
{
    missing_.erase(name);
    if (!knownRevisions_.contains(name))
        return;
    observers_.didRemove(name, removal);
    knownRevisions_.erase(name);
}

/// Lists anew after an exception: without a next call, the mirror would never learn of another change.
template <typename Action> void ObjectMirror::runGuarded(Action action)
{
    try {
        action();
    } catch (...) {
        framework::reportException("an observer of the object store");
        runAfter(failureBackoff_.next(), [this] { list({}); });
    }
}

void ObjectMirror::scheduleRetry(const Error& error, std::function<void()> step)
{
    if (!outage_) {
        outage_ = Outage { clock_.now(), 0, sentAt_ };
        logDecision(LogLine("store_lost")
                        .text("kind", settings_.kind)
                        .number("answered_ms_ago", elapsedSince(answeredAt_).count())
                        .text("cause", describe(error)));
    }
    ++outage_->failedCalls;
    outage_->lastSentAt = sentAt_;
    const auto pause
        = error.retryAfter ? std::optional(std::min(*error.retryAfter, settings_.maxRetryAfter)) : std::nullopt;
    runAfter(backoff_.next(pause), std::move(step));
}

void ObjectMirror::recordAnswer()
{
    backoff_.reset();
    const Milliseconds unanswered = elapsedSince(answeredAt_);
    answeredAt_ = clock_.now();
    const auto outage = std::exchange(outage_, std::nullopt);
    if (!outage)
        return;
    // The store can't have been reachable again before the last failed call was sent. Measuring from that time keeps a
    // late retry or a slow list from prolonging the use of a server that has been deleted.
    if (elapsedSince(outage->noticedAt) >= minOutage) {
        answeringSince_ = clock_.now();
        keepMissingUntil_ = std::min(Deadline::after(clock_.now(), settings_.missingGracePeriod),
            Deadline::after(outage->lastSentAt, settings_.outageNotice - removalPropagation));
    }
    logDecision(LogLine("store_regained")
                    .text("kind", settings_.kind)
                    .number("answered_ms_ago", unanswered.count())
                    .number("failed_calls", outage->failedCalls)
                    .number("last_failed_sent_ms_ago", elapsedSince(outage->lastSentAt).count()));
}

Milliseconds ObjectMirror::elapsedSince(SteadyTime time) const
{
    return std::chrono::duration_cast<Milliseconds>(clock_.now() - time);
}

void ObjectMirror::runAfter(Milliseconds wait, std::function<void()> step)
{
    timer_ = control_.runAt(Deadline::after(clock_.now(), wait), std::move(step));
}

} // namespace lagoon::objectstore
