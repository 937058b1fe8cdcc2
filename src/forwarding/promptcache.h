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

/// A prompt's parts as a chain: each link stands for a part and all before it, under the same weights.
struct PromptLink {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
};
using PromptChain = std::vector<PromptLink>;

PromptChain promptChain(const RequestFacts&);

/// What one engine probably keeps of prompts, from what this router has sent there. The engine drops what was used
/// longest ago, so this does too.
class PromptCache {
public:
    explicit PromptCache(catalog::Tokens capacity)
        : capacity_(capacity)
    {
    }

    /// Tokens of the chain's beginning that are kept.
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
    /// Last used first.
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace lagoon::forwarding
