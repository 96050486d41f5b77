#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Forwarding {

/// Name of a route in the operators' configuration.
using RouteId = Core::StrongType<struct RouteTag, std::string>;

/// Part of a route's requests that goes to one service.
struct WeightedService {
    Core::ServiceId service;
    double weight = 1;
};

/// How requests of one host below one path prefix are treated.
struct Route {
    RouteId id;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    std::vector<WeightedService> services;
    /// A request may run more than once.
    bool isIdempotent = false;
    /// Requests for one object should meet the same upstream.
    bool keepsObjects = false;
    /// Upstreams that one request may be sent to.
    std::uint32_t attempts = 1;
    /// Longest time that a caller is kept waiting.
    Core::Duration timeout {};
    /// Time within which an answer is worth most.
    Core::Duration targetLatency {};
    /// 0 is the most urgent.
    int priority = 0;
    /// Regions that may serve the requests; empty allows all.
    std::vector<Core::RegionId> homes;
};

using RoutePointer = std::shared_ptr<const Route>;

/// Finds the route of a request: that of the host with the longest prefix of the path.
class RouteTable {
public:
    auto add(Route route) -> void;
    /// Null when no route matches. A query does not count as part of the path.
    [[nodiscard]] auto find(const std::string& host, std::string_view path) const -> RoutePointer;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    using ByPrefix = std::unordered_map<std::string, RoutePointer>;
    std::unordered_map<std::string, ByPrefix> m_hosts;
};

/// What the configuration says of a service's upstreams.
struct ServiceSettings {
    std::string healthPath;
    /// Time for which an upstream stays cold after its start.
    Core::Duration coldTime {};
    /// Requests a second that a cold upstream can take from all entry VMs together.
    double coldRate = 0;
};

/// Bounds on what a caller may send.
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
};

} // namespace Forwarding
