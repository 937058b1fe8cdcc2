#pragma once

#include "framework/types/strongtype.h"

#include <cstdint>
#include <string>

/// Ids and units that more than one module uses.
namespace lagoon::framework {

/// A VM's name in the platform's list. A name is never reused for another VM.
using VmName = StrongType<struct VmNameTag, std::string>;
/// The name of a data centre.
using SiteName = StrongType<struct SiteNameTag, std::string>;
using FailureDomainName = StrongType<struct FailureDomainNameTag, std::string>;
/// The bundle's name for a set of equal upstreams at one site.
using PoolName = StrongType<struct PoolNameTag, std::string>;
using ModelName = StrongType<struct ModelNameTag, std::string>;
using AdapterName = StrongType<struct AdapterNameTag, std::string>;
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
/// The version of a model's or adapter's weights; an opaque string.
using WeightsVersion = StrongType<struct WeightsVersionTag, std::string>;
/// The bundle's version, which grows with each roll-out; 0 means that no bundle is in force yet.
using BundleVersion = StrongType<struct BundleVersionTag, std::uint64_t>;
/// Identifies one run of a process: a new random number at each start, never 0.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// Counts a router's dispatches to one agent. It starts at 1, and no number is reused.
using SequenceNumber = StrongType<struct SequenceNumberTag, std::uint64_t>;
/// The platform's version of one object; 0 means that the object doesn't exist.
using ObjectVersion = StrongType<struct ObjectVersionTag, std::uint64_t>;
/// Identifies a request to callers and in logs: `<router incarnation>-<counter>`.
using RequestName = StrongType<struct RequestNameTag, std::string>;
/// A fencing token, by which an upstream can refuse outdated writers; it grows with each claim of a replica.
using FencingToken = StrongType<struct FencingNumberTag, std::uint64_t>;
/// Accelerator memory in MiB.
using MebiBytes = StrongType<struct MebiBytesTag, std::uint64_t>;
/// `address:port` with a numeric address.
using Endpoint = StrongType<struct EndpointTag, std::string>;

} // namespace lagoon::framework
