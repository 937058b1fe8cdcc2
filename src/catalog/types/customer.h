#pragma once

#include "catalog/types/units.h"
#include "framework/types/strongtype.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoon::catalog {

using CustomerName = framework::StrongType<struct CustomerNameTag, std::string>;

/// Digest of a customer's API key. Keys themselves are not kept, and there is deliberately no way to print a digest.
class KeyDigest {
public:
    static constexpr std::size_t size = 32;
    using Bytes = std::array<std::uint8_t, size>;

    static KeyDigest of(std::string_view key);

    friend bool operator==(const KeyDigest&, const KeyDigest&) = default;

private:
    friend struct KeyDigestHash;

    explicit KeyDigest(const Bytes& bytes)
        : bytes_(bytes)
    {
    }

    Bytes bytes_;
};

struct KeyDigestHash {
    std::size_t operator()(const KeyDigest&) const;
};

enum class QuotaUnit : std::uint8_t { Requests, Tokens };

/// What all requests of a customer together may use, over all routers: `perSecond` units, and `burst` units beyond that
/// after a pause.
struct Quota {
    QuotaUnit unit = QuotaUnit::Requests;
    /// 0 means no limit.
    double perSecond = 0;
    double burst = 0;
    /// The cost of a request that states no number of tokens, if tokens are counted.
    Tokens plainTokens;

    bool isLimited() const { return perSecond > 0; }

    friend bool operator==(const Quota&, const Quota&) = default;
};

struct Customer {
    CustomerName name;
    /// Takes precedence over the priorities of routes; 0 is the most urgent.
    std::optional<std::uint32_t> priority;
    Quota quota;
    std::vector<KeyDigest> keys;
    /// Position in the configuration's list.
    std::size_t position = 0;
};

/// Something that a configuration says of its customers and that can't be used; the rest holds.
struct CustomerFault {
    enum class Kind : std::uint8_t {
        Unreadable, ///< the entry is left out
        UnreadableKeys, ///< these keys are left out
        KeyOfAnother, ///< a key that an earlier entry names too, and that stays with that one
    };

    Kind kind = Kind::Unreadable;
    /// Position in the configuration's list.
    std::size_t position = 0;
    /// Empty if the entry is left out.
    CustomerName name;
    /// The holder of a key that several entries name.
    CustomerName holder;
};

/// The customers of a configuration. A lookup by key costs one hash.
class Customers {
public:
    /// The first faults are listed, the others are counted.
    static constexpr std::size_t maxListedFaults = 16;

    /// A key that another customer holds already stays with that one.
    void add(Customer);
    void noteFault(CustomerFault);
    /// Returns nullptr if no customer holds the key.
    const Customer* find(const KeyDigest&) const;
    /// Returns nullptr if there is no customer of this name.
    const Customer* find(const CustomerName&) const;

    /// Whether any customer has a limited quota.
    bool hasQuotas() const { return hasQuotas_; }

    const std::vector<CustomerFault>& faults() const { return faults_; }
    std::size_t allFaults() const { return allFaults_; }

    auto begin() const { return customers_.begin(); }
    auto end() const { return customers_.end(); }
    std::size_t size() const { return customers_.size(); }

private:
    std::vector<Customer> customers_;
    std::vector<CustomerFault> faults_;
    std::size_t allFaults_ = 0;
    bool hasQuotas_ = false;
    /// Positions in `customers_`.
    std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> byKey_;
    std::unordered_map<CustomerName, std::size_t> byName_;
};

} // namespace lagoon::catalog
