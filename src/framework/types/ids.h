#pragma once

#include "framework/types/strongtype.h"

#include <cstdint>
#include <string>

/// Ids and units that more than one module uses.
namespace lagoon::framework {

/// A VM's name as the platform's list gives it. A name is never used again for another VM.
using VmName = StrongType<struct VmNameTag, std::string>;
/// One of the data centres.
using SiteName = StrongType<struct SiteNameTag, std::string>;
using FailureDomainName = StrongType<struct FailureDomainNameTag, std::string>;
/// A set of equal upstreams of one site, as the bundle names it.
using PoolName = StrongType<struct PoolNameTag, std::string>;
using ModelName = StrongType<struct ModelNameTag, std::string>;
using AdapterName = StrongType<struct AdapterNameTag, std::string>;
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
/// The version of a model's or adapter's weights; an opaque word.
using WeightsVersion = StrongType<struct WeightsVersionTag, std::string>;
/// The bundle's version; grows with each roll-out, 0 is "none yet".
using BundleVersion = StrongType<struct BundleVersionTag, std::uint64_t>;
/// Drawn anew at each start of a process; never 0.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// Counts a router's dispatches to one agent; starts at 1, never used twice.
using SequenceNumber = StrongType<struct SequenceNumberTag, std::uint64_t>;
/// The platform's version of one object; 0 is "does not exist".
using ObjectVersion = StrongType<struct ObjectVersionTag, std::uint64_t>;
/// Names a request for callers and logs: `<router incarnation>-<counter>`.
using RequestName = StrongType<struct RequestNameTag, std::string>;
/// A fencing number that upstreams may check; grows with each claim of a replica.
using FencingToken = StrongType<struct FencingNumberTag, std::uint64_t>;
/// Accelerator memory in MiB.
using MebiBytes = StrongType<struct MebiBytesTag, std::uint64_t>;
/// `address:port` with a numeric address.
using Endpoint = StrongType<struct EndpointTag, std::string>;

} // namespace lagoon::framework
