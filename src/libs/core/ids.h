#pragma once

#include "core/strongtype.h"

#include <cstdint>
#include <string>

namespace Core {

/// Name of an entry VM; stays the same when its process restarts.
using EntryVmId = StrongType<struct EntryVmTag, std::string>;
/// Name of a failure domain.
using FailureDomainId = StrongType<struct FailureDomainTag, std::string>;
/// Name of a region, which holds one or more failure domains.
using RegionId = StrongType<struct RegionTag, std::string>;
/// Name of an upstream endpoint.
using UpstreamId = StrongType<struct UpstreamTag, std::string>;
/// Name by which fair scheduling identifies a caller.
using CallerId = StrongType<struct CallerTag, std::string>;
/// Name of an organisation.
using OrganisationId = StrongType<struct OrganisationTag, std::string>;
/// Name of a service that upstreams offer.
using ServiceId = StrongType<struct ServiceTag, std::string>;
/// Name of a team that owns a section of the steering document.
using TeamId = StrongType<struct TeamTag, std::string>;
/// Id of one request, carried over every hop.
using RequestId = StrongType<struct RequestIdTag, std::string>;
/// Version of an object in the platform's store; 0 if the object does not exist.
using Version = StrongType<struct VersionTag, std::uint64_t>;
/// Number of a ledger epoch within one incarnation of an entry VM.
using Epoch = StrongType<struct EpochTag, std::uint64_t>;
/// Distinguishes one start of a process from other starts under the same id.
using ProcessStartId = StrongType<struct ProcessStartIdTag, std::int64_t>;
/// Host and port in the form "IP:PORT".
using Address = StrongType<struct AddressTag, std::string>;

} // namespace Core
