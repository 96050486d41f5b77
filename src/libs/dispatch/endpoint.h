#pragma once

#include "fleet/fleetlist.h"
#include "ports/upstreamclient.h"

namespace Dispatch {

/// Tracks the state, health and load of one upstream endpoint, and the slots that this entry VM uses there.
class Endpoint {
public:
    /// Effect of an attempt on the endpoint's health.
    enum class Health : std::uint8_t { Good, Neutral, Bad };

    /// The allowed slots of a cold endpoint grow to the full number over the slow start time.
    Endpoint(Fleet::Upstream upstream, Core::Instant now, Core::Duration slowStart, bool isCold);

    /// Applies the endpoint's entry in the current fleet list.
    auto update(const Fleet::Upstream& upstream, bool isOwn) -> void;
    /// Takes a slot for an attempt. Precondition: hasFreeSlot().
    auto begin(Core::Instant now) -> void;
    /// Frees the slot of an attempt.
    auto end() -> void;
    auto recordHealth(Health health, Core::Instant now) -> void;
    /// Pauses the endpoint for a short time after it refused a request without running it.
    auto pauseAfterShed(Core::Instant now) -> void;
    /// Marks the endpoint as draining, as it announced in an answer.
    auto markDraining(Core::Instant now) -> void;
    /// Applies a load report. Reports may be outdated, so the denial of an announced drain is ignored for the first
    /// seconds after the announcement.
    auto applyLoadReport(const Ports::LoadReport& report, Core::Instant now, Core::Duration slowStart) -> void;
    /// Excludes the endpoint from dispatch until a probe succeeds; repeated ejections last longer.
    auto eject(Core::Instant now) -> void;
    /// Ends the ejection after a successful probe: allows one request at a time until one succeeds.
    auto startHalfOpen() -> void;

    [[nodiscard]] auto upstream() const -> const Fleet::Upstream& { return m_upstream; }
    /// Returns true if the endpoint may receive requests, now or once a slot is free.
    [[nodiscard]] auto isUsable() const -> bool;
    /// Returns true if the endpoint is not owned and has no attempt in flight.
    [[nodiscard]] auto isRemovable() const -> bool { return !m_isOwn && m_inFlight == 0; }
    [[nodiscard]] auto isEjected() const -> bool { return m_state == State::Ejected; }
    /// Returns true if the last load report said that the endpoint is draining. Reports may be wrong.
    [[nodiscard]] auto reportsDraining() const -> bool { return m_reportsDraining; }
    [[nodiscard]] auto shouldBeEjected() const -> bool;
    [[nodiscard]] auto isProbeDue(Core::Instant now) const -> bool;
    [[nodiscard]] auto hasFreeSlot(Core::Instant now) const -> bool;
    [[nodiscard]] auto inFlight() const -> std::uint32_t { return m_inFlight; }
    [[nodiscard]] auto allowedSlots(Core::Instant now) const -> std::uint32_t;
    [[nodiscard]] auto pausedUntil() const -> Core::Instant { return m_pausedUntil; }
    /// Returns the share of the allowed slots in use. Load from others in a recent report counts as at most one slot,
    /// because it is only a hint.
    [[nodiscard]] auto utilization(Core::Instant now) const -> double;

private:
    enum class State : std::uint8_t { Active, Ejected, HalfOpen };

    Fleet::Upstream m_upstream;
    State m_state = State::Active;
    Core::Instant m_rampStart;
    Core::Duration m_rampTime {};
    Core::Instant m_probeAt;
    Core::Instant m_pausedUntil;
    Core::Instant m_reportedAt;
    Core::Instant m_drainingSince;
    std::uint32_t m_reportedOtherLoad = 0;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_ejections = 0;
    std::uint32_t m_consecutiveSheds = 0;
    bool m_isOwn = true;
    bool m_isDraining = false;
    bool m_reportsDraining = false;
};

} // namespace Dispatch
