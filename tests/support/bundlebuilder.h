#pragma once

#include <cpprest/json.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoon::testsupport {

/// The decided number of replicas for each site.
using Replicas = std::map<std::string, std::uint32_t>;
using Names = std::vector<std::string>;

/// Builds the JSON text of a bundle.
class BundleBuilder {
public:
    explicit BundleBuilder(std::uint64_t version);

    BundleBuilder& enginePool(const std::string& name, const std::string& site, std::uint64_t memoryMib);
    BundleBuilder& servicePool(const std::string& name, const std::string& site);
    BundleBuilder& model(
        const std::string& name, std::uint64_t memoryMib, const Names& pools, const Replicas& replicas);
    BundleBuilder& adapter(
        const std::string& model, const std::string& name, std::uint64_t memoryMib, const Replicas& replicas);
    BundleBuilder& service(const std::string& name, const Names& pools);
    /// Sets a number in the bundle's policy, such as `weight_loads_per_second`.
    BundleBuilder& policy(const std::string& key, double number);

    std::string text() const { return json_.serialize(); }

private:
    void add(const std::string& list, const web::json::value& entry);

    web::json::value json_;
};

} // namespace lagoon::testsupport
