#include "forwarding/promptcache.h"

#include "policy/rendezvous.h"

namespace lagoon::forwarding {

PromptChain promptChain(const RequestFacts& facts)
{
    PromptChain chain;
    chain.reserve(facts.prompt.size());
    const std::string weights = facts.model.value() + '/' + facts.adapter.value() + '\n';
    std::uint64_t hash = policy::fnv1a(weights.data(), weights.size());
    for (const PromptPart& part : facts.prompt) {
        const std::string id = part.id + ',';
        hash = policy::fnv1a(id.data(), id.size(), hash);
        chain.push_back({ policy::mixBits(hash), part.tokens });
    }
    return chain;
}

std::uint32_t PromptCache::cachedTokens(const PromptChain& chain) const
{
    std::uint32_t tokens = 0;
    for (const PromptLink& link : chain) {
        if (!entries_.contains(link.hash))
            break;
        tokens += link.tokens;
    }
    return tokens;
}

void PromptCache::didSend(const PromptChain& chain)
{
    for (const PromptLink& link : chain) {
        const auto [entry, isNew] = entries_.try_emplace(link.hash);
        if (!isNew) {
            order_.splice(order_.begin(), order_, entry->second.position);
            continue;
        }
        order_.push_front(link.hash);
        entry->second = { link.tokens, order_.begin() };
        used_ += link.tokens;
    }
    while (used_ > capacity_.value() && !order_.empty()) {
        const auto oldest = entries_.find(order_.back());
        used_ -= oldest->second.tokens;
        entries_.erase(oldest);
        order_.pop_back();
    }
}

void PromptCache::clear()
{
    entries_.clear();
    order_.clear();
    used_ = 0;
}

} // namespace lagoon::forwarding
