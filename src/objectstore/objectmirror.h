#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/types/time.h"
#include "objectstore/backoff.h"
#include "objectstore/iobjectfeed.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lagoon::objectstore {

struct MirrorSettings {
    /// Name of the kind, for logs.
    std::string kind;
    /// How long one watch waits for a change. Together with `answerTimeout` it bounds how long a connection that has
    /// gone silent for good goes unnoticed, which has to be well within `outageNotice`.
    framework::Milliseconds watchWait { 1500 };
    /// For the answer to come, beyond the wait.
    framework::Milliseconds answerTimeout { 700 };
    /// The same for a try while the store is away.
    framework::Milliseconds retryAnswerTimeout { 500 };
    /// Pause after a change before the next watch: changes that come together cost one call.
    framework::Milliseconds pauseAfterChange { 0 };
    /// A watch that is waiting may be cut, and the store may be away: first and longest pause before the next try.
    framework::Milliseconds initialRetryDelay { 80 };
    framework::Milliseconds maxRetryDelay { 400 };
    /// A store that asks for a longer pause is asked again after this.
    framework::Milliseconds maxRetryAfter { 1000 };
    /// How long after an outage a missing object that may only have lapsed is waited for …
    framework::Milliseconds missingGracePeriod { 2200 };
    /// … but what was deleted during an outage is acted upon this soon after the store can be reached again.
    framework::Milliseconds outageNotice { 3000 };
};

/// A copy of all objects of one kind, kept up by list and watch. Belongs to the control thread.
///
/// What it knows stays in force while the store is away. An object that is missing after such an outage may only have
/// lapsed and be back soon, so it is kept for `missingGracePeriod` as far as `outageNotice` allows. Without an outage
/// it goes at once.
class ObjectMirror {
public:
    struct Observers {
        /// An object is new or has changed.
        std::function<void(const FeedObject&)> didChange;
        /// It is gone.
        std::function<void(const std::string& name)> didRemove;
        /// All of a list has been taken in; called for each list.
        std::function<void()> didList;
        /// The store said that what is known here is current as of this time.
        std::function<void(framework::SteadyTime)> didConfirm;
    };

    ObjectMirror(IObjectFeed&, framework::IControlExecutor&, const framework::IClock&, const MirrorSettings&, Observers,
        std::uint64_t seed);
    ~ObjectMirror();
    ObjectMirror(const ObjectMirror&) = delete;
    ObjectMirror& operator=(const ObjectMirror&) = delete;

    void start();
    bool hasListed() const { return hasListed_; }

private:
    /// Since the first call that failed, until the store answers again.
    struct Outage {
        framework::SteadyTime noticedAt {};
        std::uint32_t failedCalls = 0;
        /// When the last of them was sent.
        framework::SteadyTime lastSentAt {};
    };

    void list(const std::string& after);
    void didList(framework::Result<FeedPage>);
    void finishList();
    void watch();
    void didWatch(framework::Result<FeedChanges>);
    void applyObject(const FeedObject&);
    void remove(const std::string& name);
    void handleMissing(const std::string& name);
    void removeMissing();
    void armMissingTimer();
    framework::Milliseconds answerTimeout() const
    {
        return outage_ ? settings_.retryAnswerTimeout : settings_.answerTimeout;
    }
    void scheduleRetry(const framework::Error&, std::function<void()> step);
    void recordAnswer();
    framework::Milliseconds elapsedSince(framework::SteadyTime) const;
    void after(framework::Milliseconds, std::function<void()> step);

    IObjectFeed& feed_;
    framework::IControlExecutor& control_;
    const framework::IClock& clock_;
    MirrorSettings settings_;
    Observers observers_;
    Backoff backoff_;
    /// Guards against answers that come when this object is gone.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    std::map<std::string, StoreRevision> knownRevisions_;
    std::set<std::string> listed_;
    /// Known, but not in the store, and until when each is kept.
    std::map<std::string, framework::Deadline> missing_;
    std::unique_ptr<framework::Timer> missingTimer_;
    StoreRevision watchRevision_;
    std::optional<StoreRevision> listRevision_;
    bool hasListed_ = false;
    std::optional<Outage> outage_;
    /// When the call under way was sent.
    framework::SteadyTime sentAt_ {};
    /// What is found missing until then may only have lapsed during the last outage.
    framework::Deadline keepMissingUntil_;
    /// When the store last answered a call; at first, the start.
    framework::SteadyTime answeredAt_ {};
    std::unique_ptr<framework::Timer> timer_;
};

} // namespace lagoon::objectstore
