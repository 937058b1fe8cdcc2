#pragma once

#include "bundle/types/bundle.h"
#include "callers/icaller.h"
#include "framework/types/error.h"

#include <cstddef>
#include <string>

namespace lagoon::callers {

/// The parts of a completion's JSON that the router uses.
struct CompletionBody {
    framework::ModelName model;
    framework::AdapterName adapter;
    /// FNV-1a hash of the first bytes of the prompt, for prefix affinity; 0 if the prompt is empty.
    std::uint64_t prefixHash = 0;
};

/// Reads `"model": "<model>[/<adapter>]"` and the beginning of `prompt` or `messages`.
framework::Result<CompletionBody> readCompletionBody(const std::string& body, std::size_t jsonDepth);

/// Returns the bundle's defaults for options that a request does not set, or an error if the bundle does not contain
/// the target.
framework::Result<bundle::RequestDefaults> findDefaults(const bundle::Bundle&, const RequestTarget&);

/// Returns the JSON answer to `GET /v1/models`.
std::string modelList(const bundle::Bundle&);

} // namespace lagoon::callers
