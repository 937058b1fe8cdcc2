#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <any>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lagoon::objectstore {

/// The store's count of all changes; a later state has a greater one.
using StoreRevision = framework::StrongType<struct StoreRevisionTag, std::uint64_t>;

/// One object of a kind.
struct FeedObject {
    std::string name;
    /// In the form in which the feed hands it to whoever decodes it; the mirror never looks inside.
    std::any value;
    /// Of its last change.
    StoreRevision revision;
    /// When it was created, in the store's own count: greater is later.
    std::uint64_t created = 0;
};

/// A part of a kind's list.
struct FeedPage {
    std::vector<FeedObject> objects;
    bool hasMore = false;
    /// The store's revision that this page shows.
    StoreRevision at;
};

/// A change in the order of changes.
struct FeedEvent {
    FeedObject object;
    bool isDeleted = false;
};

struct FeedChanges {
    std::vector<FeedEvent> events;
    /// From where to go on.
    StoreRevision at;
};

/// The lists and watches of one kind of object. Calls don't block; handlers run on the control thread, each once.
///
/// Errors: `PlatformUnavailable`, with `retryAfter` where the store said so; `NotFound` from `watch` when the store has
/// forgotten the history since then.
class IObjectFeed {
public:
    virtual ~IObjectFeed() = default;
    using PageHandler = std::function<void(framework::Result<FeedPage>)>;
    using ChangesHandler = std::function<void(framework::Result<FeedChanges>)>;

    /// Objects in the order of their names, from behind `after`; empty begins at the first.
    virtual void list(const std::string& after, framework::Deadline, PageHandler) = 0;
    /// Waits until there is a change behind `since`, at most `wait`.
    virtual void watch(StoreRevision since, framework::Milliseconds wait, framework::Deadline, ChangesHandler) = 0;
};

} // namespace lagoon::objectstore
