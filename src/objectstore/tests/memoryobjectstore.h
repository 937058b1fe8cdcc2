#pragma once

#include "objectstore/iobjectstore.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::objectstore {

/// What happens to a write in place of success.
enum class WriteFault : std::uint8_t {
    LoseAnswer, ///< it takes effect, and the writer learns nothing
    LoseRequest, ///< it vanishes, and the writer learns nothing
    Hold, ///< as LoseRequest, but it lands, if it still can, with `deliverHeldWrites`
    SendTwice, ///< it takes effect, and the writer sees the conflict of its second sending
    Conflict, ///< somebody else writes the same value just before
};

/// The object API in memory, for unit tests, with faults to switch on. Thread-safe.
class MemoryObjectStore final : public IObjectStore {
public:
    framework::Result<std::optional<StoredObject>> get(const ObjectKey&, framework::Deadline) override;
    framework::Result<std::vector<ListedObject>> list(const std::string& prefix, framework::Deadline) override;
    framework::Result<std::optional<StoredObject>> watch(
        const ObjectKey&, framework::ObjectVersion known, framework::Deadline, std::stop_token) override;
    framework::Result<framework::ObjectVersion> put(
        const ObjectKey&, const std::string& value, framework::ObjectVersion expected, framework::Deadline) override;
    framework::Result<void> remove(const ObjectKey&, framework::ObjectVersion expected, framework::Deadline) override;

    /// While it isn't available, each call fails at once with `PlatformUnavailable`, not run.
    void setAvailable(bool);
    /// The next puts meet these faults, in this order.
    void failNextWrites(std::vector<WriteFault>);
    void deliverHeldWrites();
    /// Called once, before the next put is looked at: the place for a racing writer.
    void beforeNextPut(std::function<void()>);
    /// Reads of the key show this object, as a copy that lags behind would, until `clearReadOverrides`.
    void overrideReads(const ObjectKey&, StoredObject);
    void clearReadOverrides();

    /// Writes as somebody else, without condition or fault.
    void set(const ObjectKey&, const std::string& value);
    std::optional<std::string> valueOf(const ObjectKey&) const;
    /// Calls so far, failed ones included.
    unsigned reads() const;
    unsigned writes() const;

private:
    struct HeldWrite {
        ObjectKey key;
        std::string value;
        framework::ObjectVersion expected;
    };

    std::optional<StoredObject> visibleObject(const ObjectKey&) const;
    framework::ObjectVersion versionOf(const ObjectKey&) const;
    framework::ObjectVersion store(const ObjectKey&, const std::string& value);
    std::optional<WriteFault> nextFault();

    mutable std::mutex mutex_;
    std::condition_variable_any changed_;
    std::map<ObjectKey, StoredObject> objects_;
    std::map<ObjectKey, StoredObject> readOverrides_;
    /// Grows with each write of any key, so versions also grow across a removal.
    std::uint64_t lastVersion_ = 0;
    bool isAvailable_ = true;
    std::vector<WriteFault> faults_;
    std::vector<HeldWrite> held_;
    std::function<void()> beforeNextPut_;
    unsigned reads_ = 0;
    unsigned writes_ = 0;
};

} // namespace lagoon::objectstore
