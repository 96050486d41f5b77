#pragma once

#include "dispatch/endpoint.h"

#include <map>
#include <optional>
#include <vector>

namespace Dispatch {

/// Upstream of the own failure domain, and whether this entry VM dispatches for it.
struct OwnedUpstream {
    Fleet::Upstream upstream;
    bool isOwn = false;
};

/// Upstream endpoints that run the same services: chooses the least loaded one, and leaves out those that fail, leave
/// or are full.
class UpstreamPool {
public:
    struct Settings {
        Core::Share ejectionLimit;
        Core::Duration slowStart {};
    };

    /// Takes the platform's list. An endpoint that appears after the first list is cold.
    auto refresh(const std::vector<OwnedUpstream>& upstreams, Settings settings, Core::Instant now) -> void;
    /// Takes a slot of the least loaded endpoint, if possible of one that is not yet tried and does not report a drain;
    /// empty when no slot is free. Reports may mislead, so they only order the endpoints.
    [[nodiscard]] auto acquire(const std::vector<Core::UpstreamId>& tried, Core::Instant now)
        -> std::optional<Fleet::Upstream>;
    auto release(const Core::UpstreamId& upstream) -> void;
    /// Counts an outcome; ejects the endpoint when it failed too often and the limit allows it.
    auto recordHealth(const Core::UpstreamId& upstream, Endpoint::Health health, Core::Instant now) -> void;
    auto recordShed(const Core::UpstreamId& upstream, Core::Instant now) -> void;
    auto recordDraining(const Core::UpstreamId& upstream, Core::Instant now) -> void;
    /// Takes the answer of a load query; an error counts as none.
    auto recordReport(
        const Core::UpstreamId& upstream, const Core::Result<Ports::LoadReport>& report, Core::Instant now) -> void;

    /// Whether any endpoint may take work, now or later.
    [[nodiscard]] auto hasUsable() const -> bool;
    [[nodiscard]] auto freeSlots(Core::Instant now) const -> std::uint32_t;
    [[nodiscard]] auto usableSlots(Core::Instant now) const -> std::uint32_t;
    [[nodiscard]] auto busySlots() const -> std::uint32_t;
    /// Earliest end of a pause after now.
    [[nodiscard]] auto nextPauseEnd(Core::Instant now) const -> std::optional<Core::Instant>;
    /// Own endpoints to ask for their load: ejected ones only when their probe is due.
    [[nodiscard]] auto endpointsToQuery(Core::Instant now) const -> std::vector<Fleet::Upstream>;

private:
    /// Endpoints that may take work.
    [[nodiscard]] auto candidates() const -> std::vector<const Endpoint*>;
    auto ejectIfAllowed(Endpoint& endpoint, Core::Instant now) -> void;

    Settings m_settings;
    std::map<Core::UpstreamId, Endpoint> m_endpoints;
    bool m_isFirstList = true;
};

} // namespace Dispatch
