#pragma once

#include "catalog/types/units.h"
#include "forwarding/types/requestfacts.h"
#include "framework/types/time.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoon::forwarding {

/// A prompt's parts as a hash chain: each link identifies a part together with all parts before it, for the same
/// weights.
struct PromptLink {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
};
using PromptChain = std::vector<PromptLink>;

PromptChain promptChain(const RequestFacts&);

/// Estimates which prompt prefixes an engine has cached, from the requests that this router has sent to it. Evicts the
/// least recently used prefixes, as the engine does.
class PromptCache {
public:
    explicit PromptCache(catalog::Tokens capacity)
        : capacity_(capacity)
    {
    }

    /// Returns the number of tokens at the beginning of the chain that are cached.
    std::uint32_t cachedTokens(const PromptChain&) const;
    void didSend(const PromptChain&);
    void clear();

private:
    struct Entry {
        std::uint32_t tokens = 0;
        std::list<std::uint64_t>::iterator position;
    };

    catalog::Tokens capacity_;
    std::uint64_t used_ = 0;
    /// The most recently used entry comes first.
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace lagoon::forwarding
