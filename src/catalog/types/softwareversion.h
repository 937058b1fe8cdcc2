#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lagoon::catalog {

/// The version of a server's software, not of the weights that it has loaded. Servers of several versions may serve
/// side by side, and versions may be rolled back, so versions are compared for equality alone.
class SoftwareVersion {
public:
    SoftwareVersion() = default;
    explicit SoftwareVersion(std::string name)
        : name_(std::move(name))
    {
    }

    const std::string& name() const { return name_; }

    friend bool operator==(const SoftwareVersion&, const SoftwareVersion&) = default;
    friend std::ostream& operator<<(std::ostream& stream, const SoftwareVersion& version)
    {
        return stream << version.name_;
    }

private:
    std::string name_;
};

} // namespace lagoon::catalog
