#include "objectstore/tests/memoryobjectstore.h"

#include <utility>

namespace lagoon::objectstore {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::ObjectVersion;
using framework::Result;

Error unavailable(const std::string& step, Execution execution)
{
    return Error { ErrorCode::PlatformUnavailable, step, "memory", "the store is set unavailable", execution };
}

Error conflict(const std::string& step)
{
    return Error { ErrorCode::PlatformConflict, step, "memory", "the object has another version" };
}

} // namespace

std::optional<StoredObject> MemoryObjectStore::visibleObject(const ObjectKey& key) const
{
    const auto readOverride = readOverrides_.find(key);
    if (readOverride != readOverrides_.end())
        return readOverride->second;
    const auto found = objects_.find(key);
    return found == objects_.end() ? std::nullopt : std::optional(found->second);
}

ObjectVersion MemoryObjectStore::versionOf(const ObjectKey& key) const
{
    const auto found = objects_.find(key);
    return found == objects_.end() ? ObjectVersion() : found->second.version;
}

ObjectVersion MemoryObjectStore::store(const ObjectKey& key, const std::string& value)
{
    const ObjectVersion version(++lastVersion_);
    objects_[key] = { value, version };
    changed_.notify_all();
    return version;
}

std::optional<WriteFault> MemoryObjectStore::nextFault()
{
    if (faults_.empty())
        return std::nullopt;
    const WriteFault fault = faults_.front();
    faults_.erase(faults_.begin());
    return fault;
}

Result<std::optional<StoredObject>> MemoryObjectStore::get(const ObjectKey& key, Deadline)
{
    const std::lock_guard lock(mutex_);
    ++reads_;
    if (!isAvailable_)
        return unavailable("get", Execution::NotRun);
    return visibleObject(key);
}

Result<std::vector<ListedObject>> MemoryObjectStore::list(const std::string& prefix, Deadline)
{
    const std::lock_guard lock(mutex_);
    ++reads_;
    if (!isAvailable_)
        return unavailable("list", Execution::NotRun);
    std::vector<ListedObject> listed;
    for (const auto& [key, object] : objects_) {
        if (key.value().compare(0, prefix.size(), prefix) != 0)
            continue;
        listed.push_back({ key, object.version });
    }
    return listed;
}

Result<std::optional<StoredObject>> MemoryObjectStore::watch(
    const ObjectKey& key, ObjectVersion known, Deadline deadline, std::stop_token stop)
{
    std::unique_lock lock(mutex_);
    ++reads_;
    const auto hasChanged = [&] {
        const auto object = visibleObject(key);
        return !isAvailable_ || (object ? object->version : ObjectVersion()) != known;
    };
    const bool isConditionMet = changed_.wait_until(lock, stop, deadline.at(), hasChanged);
    if (!isAvailable_ || stop.stop_requested())
        return unavailable("watch", Execution::NotRun);
    if (!isConditionMet)
        return std::optional<StoredObject>();
    auto object = visibleObject(key);
    if (!object)
        return Error { ErrorCode::NotFound, "watch", "memory", "the object no longer exists" };
    return object;
}

Result<ObjectVersion> MemoryObjectStore::put(
    const ObjectKey& key, const std::string& value, ObjectVersion expected, Deadline)
{
    std::function<void()> before;
    {
        const std::lock_guard lock(mutex_);
        before = std::exchange(beforeNextPut_, nullptr);
    }
    if (before)
        before();
    const std::lock_guard lock(mutex_);
    ++writes_;
    if (!isAvailable_)
        return unavailable("put", Execution::NotRun);
    const auto fault = nextFault();
    if (fault == WriteFault::Conflict)
        store(key, versionOf(key) == ObjectVersion() ? value : objects_[key].value);
    if (fault == WriteFault::Hold)
        held_.push_back({ key, value, expected });
    if (fault == WriteFault::LoseRequest || fault == WriteFault::Hold)
        return unavailable("put", Execution::Unknown);
    if (versionOf(key) != expected)
        return conflict("put");
    const ObjectVersion version = store(key, value);
    if (fault == WriteFault::LoseAnswer)
        return unavailable("put", Execution::Unknown);
    if (fault == WriteFault::SendTwice)
        return conflict("put");
    return version;
}

Result<void> MemoryObjectStore::remove(const ObjectKey& key, ObjectVersion expected, Deadline)
{
    const std::lock_guard lock(mutex_);
    ++writes_;
    if (!isAvailable_)
        return unavailable("remove", Execution::NotRun);
    const ObjectVersion currentVersion = versionOf(key);
    if (currentVersion == ObjectVersion())
        return framework::success();
    if (currentVersion != expected)
        return conflict("remove");
    objects_.erase(key);
    changed_.notify_all();
    return framework::success();
}

void MemoryObjectStore::setAvailable(bool isAvailable)
{
    const std::lock_guard lock(mutex_);
    isAvailable_ = isAvailable;
    changed_.notify_all();
}

void MemoryObjectStore::failNextWrites(std::vector<WriteFault> faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = std::move(faults);
}

void MemoryObjectStore::deliverHeldWrites()
{
    const std::lock_guard lock(mutex_);
    for (const HeldWrite& write : std::exchange(held_, {})) {
        if (versionOf(write.key) != write.expected)
            continue;
        store(write.key, write.value);
    }
}

void MemoryObjectStore::beforeNextPut(std::function<void()> action)
{
    const std::lock_guard lock(mutex_);
    beforeNextPut_ = std::move(action);
}

void MemoryObjectStore::overrideReads(const ObjectKey& key, StoredObject object)
{
    const std::lock_guard lock(mutex_);
    readOverrides_[key] = std::move(object);
    changed_.notify_all();
}

void MemoryObjectStore::clearReadOverrides()
{
    const std::lock_guard lock(mutex_);
    readOverrides_.clear();
    changed_.notify_all();
}

void MemoryObjectStore::set(const ObjectKey& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    store(key, value);
}

std::optional<std::string> MemoryObjectStore::valueOf(const ObjectKey& key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = objects_.find(key);
    return found == objects_.end() ? std::nullopt : std::optional(found->second.value);
}

unsigned MemoryObjectStore::reads() const
{
    const std::lock_guard lock(mutex_);
    return reads_;
}

unsigned MemoryObjectStore::writes() const
{
    const std::lock_guard lock(mutex_);
    return writes_;
}

} // namespace lagoon::objectstore
