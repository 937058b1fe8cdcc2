#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/types/time.h"
#include "objectstore/backoff.h"
#include "objectstore/iobjectfeed.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lagoon::objectstore {

struct MirrorSettings {
    /// Name of the kind in log events.
    std::string kind;
    /// How long one watch waits for a change. `watchWait` plus `answerTimeout` bounds how long a silently broken
    /// connection stays undetected, which has to be well below `outageNotice`.
    framework::Milliseconds watchWait { 1500 };
    /// Time limit for an answer, in addition to the watch's wait.
    framework::Milliseconds answerTimeout { 700 };
    /// Replaces `answerTimeout` for calls during an outage of the store.
    framework::Milliseconds retryAnswerTimeout { 500 };
    /// Pause after a change before the next watch, so that changes in quick succession cost one call.
    framework::Milliseconds pauseAfterChange { 0 };
    /// Initial and maximum backoff after a failed call, such as a watch whose connection was cut or any call during an
    /// outage of the store.
    framework::Milliseconds initialRetryDelay { 80 };
    framework::Milliseconds maxRetryDelay { 400 };
    /// Upper limit for the `retryAfter` that the store asks for; longer ones are cut to this.
    framework::Milliseconds maxRetryAfter { 1000 };
    /// How long after an outage an object that is missing from the store is kept, since its entry may only have expired
    /// during the outage.
    framework::Milliseconds missingGracePeriod { 2200 };
    /// Time limit, from when the store can be reached again, within which a deletion made during the outage takes
    /// effect everywhere. It shortens `missingGracePeriod` if necessary.
    framework::Milliseconds outageNotice { 3000 };
    /// Limits the memory that the copy takes. Objects beyond this number aren't copied.
    std::size_t maxObjects = 8192;
};

/// A local copy of all objects of one kind, kept up to date by list and watch. Used on the control thread only.
///
/// The copy stays in use during an outage of the store. An object that is missing after an outage may only have expired
/// and may be registered again soon, so it is kept for `missingGracePeriod`, as far as `outageNotice` allows. Without
/// an outage a missing object is removed at once.
class ObjectMirror {
public:
    enum class Removal : std::uint8_t {
        Deleted,
        Expired, ///< missing since an outage of the store, in which its owner couldn't renew it
    };

    struct Observers {
        /// Called when an object is new or has changed.
        std::function<void(const FeedObject&)> didChange;
        std::function<void(const std::string& name, Removal)> didRemove;
        /// Called after each complete list has been applied.
        std::function<void()> didList;
        /// Called when the store has confirmed that the copy was current at the given time.
        std::function<void(framework::SteadyTime)> didConfirm;
    };

    ObjectMirror(IObjectFeed&, framework::IControlExecutor&, const framework::IClock&, const MirrorSettings&, Observers,
        std::uint64_t seed);
    ~ObjectMirror();
    ObjectMirror(const ObjectMirror&) = delete;
    ObjectMirror& operator=(const ObjectMirror&) = delete;

    void start();
    bool hasListed() const { return hasListed_; }
    /// When the store answered again after the last outage; initially the time of `start`.
    framework::SteadyTime answeringSince() const { return answeringSince_; }

private:
    /// An outage lasts from the first failed call until the store answers again.
    struct Outage {
        framework::SteadyTime noticedAt {};
        std::uint32_t failedCalls = 0;
        /// When the last failed call was sent.
        framework::SteadyTime lastSentAt {};
    };

    void list(const std::string& after);
    void handleList(framework::Result<FeedPage>);
    void finishList();
    void watch();
    void handleWatch(framework::Result<FeedChanges>);
    void applyObject(const FeedObject&);
    bool hasRoomFor(const FeedObject&);
    bool hasRoomAgain() const;
    void remove(const std::string& name, Removal);
    void handleMissing(const std::string& name);
    void handleDeletion(const FeedObject&);
    void removeMissing();
    void armMissingTimer();
    framework::Milliseconds answerTimeout() const
    {
        return outage_ ? settings_.retryAnswerTimeout : settings_.answerTimeout;
    }
    template <typename Action> void runGuarded(Action);
    void scheduleRetry(const framework::Error&, std::function<void()> step);
    void recordAnswer();
    framework::Milliseconds elapsedSince(framework::SteadyTime) const;
    void runAfter(framework::Milliseconds, std::function<void()> step);

    IObjectFeed& feed_;
    framework::IControlExecutor& control_;
    const framework::IClock& clock_;
    MirrorSettings settings_;
    Observers observers_;
    Backoff backoff_;
    /// Of changes that can't be applied. An answer of the store doesn't reset it, as `backoff_`.
    Backoff failureBackoff_;
    /// Lets handlers of pending calls detect that this object was destroyed.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    std::map<std::string, StoreRevision> knownRevisions_;
    std::set<std::string> listed_;
    /// The objects of the pages that were listed so far.
    std::size_t objectsInPages_ = 0;
    /// Whether objects were left out since the last complete list.
    bool isFull_ = false;
    /// Known objects that are missing from the store, and until when each is kept.
    std::map<std::string, framework::Deadline> missing_;
    std::unique_ptr<framework::Timer> missingTimer_;
    StoreRevision watchRevision_;
    std::optional<StoreRevision> listRevision_;
    bool hasListed_ = false;
    std::optional<Outage> outage_;
    /// When the pending call was sent.
    framework::SteadyTime sentAt_ {};
    /// Objects found missing before this deadline may only have expired during the last outage.
    framework::Deadline keepMissingUntil_;
    /// When the store last answered a call; initially the time of `start`.
    framework::SteadyTime answeredAt_ {};
    framework::SteadyTime answeringSince_ {};
    std::unique_ptr<framework::Timer> timer_;
};

} // namespace lagoon::objectstore
