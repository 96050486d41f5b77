#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/units.h"
#include "organisations/organisationdirectory.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Forwarding {

/// Name of a route in the configuration.
using RouteId = Core::StrongType<struct RouteTag, std::string>;

/// Service that gets a share of a route's requests, in proportion to its weight.
struct WeightedService {
    Core::ServiceId service;
    double weight = 1;
};

/// Rules for the requests of one host below one path prefix.
struct Route {
    RouteId id;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    std::vector<WeightedService> services;
    /// Requests may run more than once.
    bool isIdempotent = false;
    /// Requests for the same object prefer the same upstream.
    bool hasObjectAffinity = false;
    /// Maximum number of upstreams that one request is sent to.
    std::uint32_t attempts = 1;
    /// Maximum time for which a caller waits.
    Core::Duration timeout {};
    /// Answers within this time are worth the most.
    Core::Duration targetLatency {};
    /// 0 is the most urgent.
    int priority = 0;
    /// Regions that may serve the requests; empty allows all.
    std::vector<Core::RegionId> homes;
    /// Requests need no API key.
    bool isAnonymous = false;
};

using RoutePointer = std::shared_ptr<const Route>;

/// Maps a host and path to the route of the host with the longest matching path prefix.
class RouteTable {
public:
    auto add(Route route) -> void;
    /// Returns null if no route matches. The query string is ignored.
    [[nodiscard]] auto find(const std::string& host, std::string_view path) const -> RoutePointer;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    using ByPrefix = std::unordered_map<std::string, RoutePointer>;
    std::unordered_map<std::string, ByPrefix> m_hosts;
};

/// Settings for the upstreams of one service.
struct ServiceSettings {
    std::string healthPath;
    /// Time for which an upstream is cold after its start.
    Core::Duration coldTime {};
    /// Requests per second that a cold upstream can take from all entry VMs together.
    double coldRate = 0;
};

/// Limits on the requests of callers.
struct CallerLimits {
    Core::Bytes header { 16 * 1024 };
    Core::Bytes body { 1024 * 1024 };
    Core::Millis headerTime { 5000 };
    Core::Millis idleTime { 60'000 };
};

struct RoutingConfiguration {
    Core::Version version;
    RouteTable routes;
    std::map<Core::ServiceId, ServiceSettings> services;
    CallerLimits limits;
    /// If it is empty, requests need no API key.
    Organisations::OrganisationDirectory organisations;
    /// Parts of the configuration that cannot be used; the others are in force.
    std::vector<Core::Error> problems;
};

} // namespace Forwarding
