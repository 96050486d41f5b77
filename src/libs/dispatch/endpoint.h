#pragma once

#include "fleet/fleetlist.h"
#include "ports/upstreamclient.h"

namespace Dispatch {

/// What this entry VM knows about one upstream endpoint, and its share of the endpoint's slots.
class Endpoint {
public:
    /// How an attempt counts for the endpoint's health.
    enum class Health : std::uint8_t { Good, Neutral, Bad };

    /// A cold endpoint is brought to its slots over the given time.
    Endpoint(Fleet::Upstream upstream, Core::Instant now, Core::Duration slowStart, bool isCold);

    /// Takes what the platform's list says now.
    auto update(const Fleet::Upstream& upstream, bool isOwn) -> void;
    auto begin(Core::Instant now) -> void;
    auto end() -> void;
    auto recordHealth(Health health, Core::Instant now) -> void;
    /// The endpoint refused a request unrun: it gets a short pause.
    auto pauseAfterShed(Core::Instant now) -> void;
    /// The endpoint said in an answer that it is leaving.
    auto announceDraining(Core::Instant now) -> void;
    /// Takes a load report, which may lag: it takes back an announced drain only when that is some seconds old.
    auto takeReport(const Ports::LoadReport& report, Core::Instant now, Core::Duration slowStart) -> void;
    auto eject(Core::Instant now) -> void;
    /// Ends the ejection after a good probe: one request at a time until one succeeds.
    auto startHalfOpen() -> void;

    [[nodiscard]] auto upstream() const -> const Fleet::Upstream& { return m_upstream; }
    /// May get new work, now or when a slot is free.
    [[nodiscard]] auto isUsable() const -> bool;
    [[nodiscard]] auto isForgettable() const -> bool { return !m_isOwn && m_inFlight == 0; }
    [[nodiscard]] auto isEjected() const -> bool { return m_state == State::Ejected; }
    /// The last report said that the endpoint is leaving; reports may mislead.
    [[nodiscard]] auto reportsDraining() const -> bool { return m_reportsDraining; }
    [[nodiscard]] auto shouldBeEjected() const -> bool;
    [[nodiscard]] auto isProbeDue(Core::Instant now) const -> bool;
    [[nodiscard]] auto hasFreeSlot(Core::Instant now) const -> bool;
    [[nodiscard]] auto inFlight() const -> std::uint32_t { return m_inFlight; }
    [[nodiscard]] auto allowedSlots(Core::Instant now) const -> std::uint32_t;
    [[nodiscard]] auto pausedUntil() const -> Core::Instant { return m_pausedUntil; }
    /// Share of the allowed slots in use, with a fresh report of other load as a hint of at most one slot.
    [[nodiscard]] auto pressure(Core::Instant now) const -> double;

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
    std::uint32_t m_sheds = 0;
    bool m_isOwn = true;
    bool m_isDraining = false;
    bool m_reportsDraining = false;
};

} // namespace Dispatch
