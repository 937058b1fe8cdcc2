#pragma once

#include "catalog/types/units.h"
#include "catalog/types/upstream.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace lagoon::forwarding {

/// A model whose prompts an engine reads.
struct ReadModel {
    framework::ModelName name;
    catalog::MegaBytes weights { 0 };
};

/// How fast the engines of one service read prompts, learned from the time that they took until the first event.
///
/// A time is put down to the size of the model's weights, to the model and to the engine, each as far as it is
/// uncertain. Models of the same size are often of the same architecture, so that a model has an estimate before it was
/// ever used, as has an engine that was never used with it.
class EngineSpeeds {
public:
    /// An engine took this long to read prompts with this many tokens altogether. Ignored if the tokens are so few that
    /// the time says nothing about the speed.
    void didRead(
        const catalog::UpstreamRun& engine, const ReadModel&, std::uint64_t tokens, framework::Milliseconds took);
    double tokensPerMillisecond(const catalog::UpstreamRun& engine, const ReadModel&) const;
    /// The engine's run has ended.
    void forget(const catalog::UpstreamRun&);
    std::size_t engines() const { return engines_.size(); }
    std::size_t models() const { return models_.size(); }

private:
    /// The natural logarithm of a ratio of times.
    struct Slowness {
        double log = 0;
        double variance = 0;
    };

    double relativeSlowness(const catalog::UpstreamRun&) const;

    /// Relative to each other: their mean counts as the slowness of an engine that isn't known.
    std::map<catalog::UpstreamRun, Slowness> engines_;
    double sumOfEngines_ = 0;
    /// By weights, relative to the assumed speed.
    std::map<catalog::MegaBytes, Slowness> sizes_;
    /// Relative to models of the same size.
    std::unordered_map<framework::ModelName, Slowness> models_;
};

} // namespace lagoon::forwarding
