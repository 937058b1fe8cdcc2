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

/// Number that the store increases with each change of any object, so a later state has a greater revision.
using StoreRevision = framework::StrongType<struct StoreRevisionTag, std::uint64_t>;

struct FeedObject {
    std::string name;
    /// The object's content, in the form that the feed and the decoder of this kind agree on. The mirror doesn't read
    /// it.
    std::any value;
    /// Revision of the object's last change.
    StoreRevision revision;
    /// Creation time in the store's own numbering; a greater number is later.
    std::uint64_t created = 0;
};

/// One page of the list of all objects of a kind.
struct FeedPage {
    std::vector<FeedObject> objects;
    bool hasMore = false;
    /// The store revision at which this page was read.
    StoreRevision at;
};

struct FeedEvent {
    FeedObject object;
    bool isDeleted = false;
};

struct FeedChanges {
    /// Events in the order in which the changes were made.
    std::vector<FeedEvent> events;
    /// The revision from which the next watch continues.
    StoreRevision at;
};

/// Lists and watches the objects of one kind. Calls don't block; each handler runs once, on the control thread.
///
/// Errors: `PlatformUnavailable`, with `retryAfter` if the store sent one; `NotFound` from `watch` if the store no
/// longer keeps the history since the given revision, and `TooLarge` if the changes since then are more than is read at
/// once.
class IObjectFeed {
public:
    virtual ~IObjectFeed() = default;
    using PageHandler = std::function<void(framework::Result<FeedPage>)>;
    using ChangesHandler = std::function<void(framework::Result<FeedChanges>)>;

    /// Lists objects in the order of their names, beginning with the first name greater than `after`. If `after` is
    /// empty, the list begins with the first object.
    virtual void list(const std::string& after, framework::Deadline, PageHandler) = 0;
    /// Waits at most `wait` for a change later than `since`.
    virtual void watch(StoreRevision since, framework::Milliseconds wait, framework::Deadline, ChangesHandler) = 0;
};

} // namespace lagoon::objectstore
