#pragma once

#include "fairness/types/customeruse.h"

#include <cstdint>
#include <unordered_map>

namespace lagoon::fairness {

/// When a request goes among those of its rank. The ones that go last are refused first, and the ones that go first
/// aren't refused for overload.
enum class Turn : std::uint8_t { First, Usual, Last };

/// What a customer gets at present, and what it ought to get.
struct Standing {
    Use use;
    /// The fraction of its requests that its fair share covers.
    double covered = 1;
    /// The fraction of all requests of its rank that are served.
    double ofRank = 1;
    /// The fraction of its requests that go before all ranks, as others leave it too little.
    double raised = 0;

    bool hasMore() const;
    bool hasLess() const;
    /// The fair share in the unit of its use.
    double share() const { return covered * use.asked(); }
    /// `drawn` is uniform between 0 and 1 and independent for each request, so that all routers together keep to the
    /// fractions without knowing of each other's requests.
    Turn turn(double drawn) const;
    bool isRaised(double drawn) const { return drawn < raised; }
};

/// Divides what is served. Customers of one rank share what their rank gets by max-min fairness: whoever asks for less
/// than an equal part gets all of it, and the others have equal parts of the rest. No customer of any rank, however
/// large, is served much less often than all of them.
class FairShares {
public:
    /// Priorities of the customers that have one; 0 is the most urgent.
    using Priorities = std::unordered_map<CustomerKey, std::uint32_t>;

    FairShares() = default;
    FairShares(const UseReport&, const Priorities&);

    /// A customer that the report doesn't name counts as a small one, if most of those that it names are larger.
    Standing standing(const CustomerKey&, std::uint32_t priority) const;

private:
    struct Rank {
        Use use;
        /// What a customer of the rank may use.
        double level = 0;
    };

    bool hasSmallRest(std::uint32_t priority) const;
    double aimOf(const Use&) const;
    double raised(const Use&, double aim) const;

    UseReport report_;
    Use all_;
    /// What each customer could use if there were no ranks.
    double level_ = 0;
    double smallestNamed_ = 0;
    std::unordered_map<std::uint32_t, Rank> ranks_;
};

/// The priority of a customer that has none.
inline constexpr std::uint32_t noPriority = 256;

} // namespace lagoon::fairness
