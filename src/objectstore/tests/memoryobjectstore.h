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

/// A fault that is injected into a write.
enum class WriteFault : std::uint8_t {
    LoseAnswer, ///< the write takes effect, but the writer gets no answer
    LoseRequest, ///< the write is lost, and the writer gets no answer
    Hold, ///< as LoseRequest, but `deliverHeldWrites` executes the write if its version still matches
    SendTwice, ///< the write takes effect, and the writer gets the conflict of its second transmission
    Conflict, ///< another writer writes the object just before, so this write conflicts
};

/// In-memory object store with fault injection for unit tests. Thread-safe.
class MemoryObjectStore final : public IObjectStore {
public:
    framework::Result<std::optional<StoredObject>> get(const ObjectKey&, framework::Deadline) override;
    framework::Result<std::vector<ListedObject>> list(const std::string& prefix, framework::Deadline) override;
    framework::Result<std::optional<StoredObject>> watch(
        const ObjectKey&, framework::ObjectVersion known, framework::Deadline, std::stop_token) override;
    framework::Result<framework::ObjectVersion> put(
        const ObjectKey&, const std::string& value, framework::ObjectVersion expected, framework::Deadline) override;
    framework::Result<void> remove(const ObjectKey&, framework::ObjectVersion expected, framework::Deadline) override;

    /// While the store isn't available, each call fails at once with `PlatformUnavailable` and `Execution::NotRun`.
    void setAvailable(bool);
    /// Injects these faults into the next puts, in this order.
    void failNextWrites(std::vector<WriteFault>);
    void deliverHeldWrites();
    /// Sets an action that runs once, before the next put is processed; a test can simulate a concurrent writer in it.
    void beforeNextPut(std::function<void()>);
    /// Reads and watches of the key return this object, as a lagging replica would, until `clearReadOverrides`.
    void overrideReads(const ObjectKey&, StoredObject);
    void clearReadOverrides();

    /// Writes as another writer would, without a condition or an injected fault.
    void set(const ObjectKey&, const std::string& value);
    std::optional<std::string> valueOf(const ObjectKey&) const;
    /// Number of reads and writes so far, including failed ones.
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
    /// Increases with each write of any key, so an object that is created again after a removal has a greater version.
    std::uint64_t lastVersion_ = 0;
    bool isAvailable_ = true;
    std::vector<WriteFault> faults_;
    std::vector<HeldWrite> held_;
    std::function<void()> beforeNextPut_;
    unsigned reads_ = 0;
    unsigned writes_ = 0;
};

} // namespace lagoon::objectstore
