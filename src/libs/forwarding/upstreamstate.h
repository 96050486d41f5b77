#pragma once

#include "forwarding/objectkey.h"
#include "forwarding/upstreamlist.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace Forwarding {

/// What this entry VM knows about one start of an upstream.
class UpstreamState {
public:
    /// How an exchange counts for the upstream's health.
    enum class Health : std::uint8_t { Good, Refusing, Bad };

    explicit UpstreamState(UpstreamEntry entry);

    /// Takes what the list says now of the same start.
    auto update(const UpstreamEntry& entry) -> void;
    /// The upstream is no longer listed; its open exchanges go on.
    auto leave() -> void { m_isListed = false; }
    auto begin(Core::Instant now) -> void;
    auto end(const std::optional<Ports::ReportedLoad>& load, Core::Instant now) -> void;
    auto recordHealth(Health health, Core::Instant now) -> void;
    /// Takes no requests until a health answer says that it is well.
    auto eject(Core::Instant now) -> void;
    /// Returns whether the answer is news for other entry VMs.
    auto recordProbe(const Core::Result<Ports::HealthReport>& report, Core::Instant now) -> bool;
    auto beginProbe(Core::Instant now) -> void;
    /// The upstream may have become cold without saying so: ask before it gets requests again.
    auto requireProbe(Core::Instant now) -> void;
    /// Asks for the upstream's health while requests go on.
    auto wantProbe() -> void { m_isProbeWanted = true; }
    /// The upstream may have started again unnoticed, and be cold: one request at a time until it was asked.
    auto doubt() -> void;
    /// The upstream stays cold until the instant, whatever else it says.
    auto setCold(Core::Instant until) -> void;
    /// Another entry VM has asked the upstream.
    auto learn(bool isHealthy, Core::Duration coldLeft, Core::Instant now) -> void;
    auto remember(const ObjectKey& object, Core::Instant now) -> void;

    [[nodiscard]] auto entry() const -> const UpstreamEntry& { return m_entry; }
    [[nodiscard]] auto isForgettable() const -> bool { return !m_isListed && m_inFlight == 0 && !m_isProbing; }
    [[nodiscard]] auto isUsable(Core::Instant now) const -> bool;
    /// Nothing was heard for so long that the upstream may have started again meanwhile.
    [[nodiscard]] auto mayHaveRestarted(Core::Instant now) const -> bool;
    [[nodiscard]] auto isDoubtful() const -> bool { return m_isDoubtful; }
    [[nodiscard]] auto isBusy() const -> bool { return m_inFlight > 0; }
    [[nodiscard]] auto isCold(Core::Instant now) const -> bool { return now < m_coldUntil; }
    [[nodiscard]] auto isProbeDue(Core::Instant now) const -> bool;
    [[nodiscard]] auto remembers(const ObjectKey& object) const -> bool { return m_objects.contains(object); }
    /// Share of the last requests that failed or were refused though there was room.
    [[nodiscard]] auto failureShare() const -> double { return m_failureShare; }
    /// Requests at the upstream. Those of other entry VMs are as last reported, and tend to the mean as time passes.
    [[nodiscard]] auto occupancy(double meanOfOthers, Core::Instant now) const -> double;
    /// Requests of other entry VMs by the last report.
    [[nodiscard]] auto othersLoad() const -> double { return m_othersLoad; }
    /// Slots of the upstream; at least 1.
    [[nodiscard]] auto slots() const -> double { return std::max(1U, m_entry.slots.value()); }
    /// Requests are out and nothing has been heard since the instant.
    [[nodiscard]] auto silentSince() const -> std::optional<Core::Instant>;
    /// The allowance of requests while the upstream is cold has room for one now.
    [[nodiscard]] auto hasColdAllowance(Core::Instant now) const -> bool;
    /// Takes one request from the allowance of a cold upstream.
    auto takeColdAllowance(double perSecond, Core::Instant now) -> void;

private:
    auto forgetOldest() -> void;
    /// The process that is known is still there.
    auto endDoubt(Core::Instant now) -> void;
    auto recordGoodProbe(const Ports::HealthReport& report, Core::Instant now) -> bool;
    auto recordFailedProbe(Core::ErrorKind kind, Core::Instant now) -> bool;

    UpstreamEntry m_entry;
    std::uint32_t m_inFlight = 0;
    double m_othersLoad = 0;
    Core::Instant m_reportedAt;
    Core::Instant m_pausedUntil;
    Core::Instant m_coldUntil;
    /// Last sign of life, or start of the first of the open requests.
    Core::Instant m_lastHeard;
    Core::Instant m_lastAnswer;
    Core::Instant m_coldAllowanceAt;
    Core::Instant m_probeAt;
    Core::Instant m_probeStartedAt;
    bool m_isListed = true;
    bool m_isEjected = false;
    bool m_isProbing = false;
    bool m_isProbeWanted = false;
    bool m_isDoubtful = false;
    /// Its last probe found nothing at its address.
    bool m_isKnownDown = false;
    std::uint32_t m_consecutiveBad = 0;
    std::uint32_t m_failedProbes = 0;
    double m_failureShare = 0;
    std::unordered_map<ObjectKey, Core::Instant> m_objects;
};

} // namespace Forwarding
