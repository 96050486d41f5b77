#pragma once

#include "dispatch/endpoint.h"

#include <map>
#include <optional>
#include <vector>

namespace Dispatch {

/// Upstream of this entry VM's failure domain; isOwn is true if this entry VM dispatches to it.
struct OwnedUpstream {
    Fleet::Upstream upstream;
    bool isOwn = false;
};

/// Manages the upstream endpoints that run the same services. Selects the least loaded endpoint, and skips those that
/// are failing, draining or full.
class UpstreamPool {
public:
    struct Settings {
        Core::Share ejectionLimit;
        Core::Duration slowStart {};
    };

    /// Applies the current fleet list. Endpoints that first appear after the first non-empty list are cold.
    auto refresh(const std::vector<OwnedUpstream>& upstreams, Settings settings, Core::Instant now) -> void;
    /// Takes a slot of the least loaded endpoint. Prefers endpoints that were not tried yet, then those that do not
    /// report a drain; reports may be wrong, so they only affect the order. Returns nothing if no slot is free.
    [[nodiscard]] auto acquire(const std::vector<Core::UpstreamId>& tried, Core::Instant now)
        -> std::optional<Fleet::Upstream>;
    auto release(const Core::UpstreamId& upstream) -> void;
    /// Records the effect of an attempt; ejects the endpoint if it failed too often and the ejection limit permits it.
    auto recordHealth(const Core::UpstreamId& upstream, Endpoint::Health health, Core::Instant now) -> void;
    auto recordShed(const Core::UpstreamId& upstream, Core::Instant now) -> void;
    auto recordDraining(const Core::UpstreamId& upstream, Core::Instant now) -> void;
    /// Applies the result of a load query. An error extends the ejection of an endpoint whose probe is due, and has no
    /// effect otherwise.
    auto recordReport(
        const Core::UpstreamId& upstream, const Core::Result<Ports::LoadReport>& report, Core::Instant now) -> void;

    /// Returns true if any endpoint may receive requests, now or later.
    [[nodiscard]] auto hasUsable() const -> bool;
    [[nodiscard]] auto freeSlots(Core::Instant now) const -> std::uint32_t;
    [[nodiscard]] auto usableSlots(Core::Instant now) const -> std::uint32_t;
    [[nodiscard]] auto busySlots() const -> std::uint32_t;
    /// Returns the earliest end of a pause after now.
    [[nodiscard]] auto nextPauseEnd(Core::Instant now) const -> std::optional<Core::Instant>;
    /// Returns the endpoints to query for their load: those that are owned or have attempts in flight. Ejected
    /// endpoints are included only if their probe is due.
    [[nodiscard]] auto endpointsToQuery(Core::Instant now) const -> std::vector<Fleet::Upstream>;

private:
    /// Returns the usable endpoints.
    [[nodiscard]] auto candidates() const -> std::vector<const Endpoint*>;
    auto ejectIfAllowed(Endpoint& endpoint, Core::Instant now) -> void;

    Settings m_settings;
    std::map<Core::UpstreamId, Endpoint> m_endpoints;
    bool m_isFirstList = true;
};

} // namespace Dispatch
