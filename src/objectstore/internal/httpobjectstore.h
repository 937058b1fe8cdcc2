#pragma once

#include "objectstore/internal/httpcalls.h"
#include "objectstore/iobjectstore.h"

#include <memory>

namespace lagoon::objectstore {

/// HTTP client for the platform's object API, which docs/OUTSIDE.md describes.
class HttpObjectStore final : public IObjectStore {
public:
    explicit HttpObjectStore(std::shared_ptr<HttpCalls>);

    framework::Result<std::optional<StoredObject>> get(const ObjectKey&, framework::Deadline) override;
    framework::Result<std::vector<ListedObject>> list(const std::string& prefix, framework::Deadline) override;
    framework::Result<std::optional<StoredObject>> watch(
        const ObjectKey&, framework::ObjectVersion known, framework::Deadline, std::stop_token) override;
    framework::Result<framework::ObjectVersion> put(
        const ObjectKey&, const std::string& value, framework::ObjectVersion expected, framework::Deadline) override;
    framework::Result<void> remove(const ObjectKey&, framework::ObjectVersion expected, framework::Deadline) override;

private:
    framework::Result<StoredObject> storedObject(const HttpCall&, HttpAnswer);

    std::shared_ptr<HttpCalls> calls_;
};

} // namespace lagoon::objectstore
