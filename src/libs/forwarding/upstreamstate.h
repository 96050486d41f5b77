#pragma once

#include "forwarding/objectkey.h"
#include "forwarding/upstreamlist.h"
#include "forwarding/worktimeestimator.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace Forwarding {

/// Exchange with an upstream that has no answer yet.
struct OpenExchange {
    Core::Instant startedAt;
    /// Time without an answer after which the upstream counts as unresponsive.
    Core::Duration responseTimeLimit {};

    friend auto operator==(const OpenExchange&, const OpenExchange&) -> bool = default;
};

/// State that this entry VM tracks for one incarnation of an upstream, from start to end of its process.
class UpstreamState {
public:
    /// Effect of an exchange on the upstream's health.
    enum class HealthSignal : std::uint8_t { Success, Refusal, Failure };

    explicit UpstreamState(UpstreamEntry entry);

    /// Applies the current list entry of the same incarnation.
    auto update(const UpstreamEntry& entry) -> void;
    /// Takes over what an earlier incarnation seems to have said of itself: while the list lags behind a restart, the
    /// answers of the new process are counted for the old one.
    auto inheritSignals(const UpstreamState& earlier, Core::Instant now) -> void;
    /// Marks the upstream as no longer listed; its open exchanges continue.
    auto markUnlisted() -> void { m_isListed = false; }
    auto beginExchange(const OpenExchange& exchange) -> void;
    auto endExchange(const OpenExchange& exchange, const std::optional<Ports::ReportedLoad>& load, Core::Instant now)
        -> void;
    /// Records that the head of a large answer has arrived. The request occupies the upstream until endBody().
    auto beginBody(const OpenExchange& exchange, const std::optional<Ports::ReportedLoad>& load, Core::Instant now)
        -> void;
    auto endBody() -> void;
    /// Records that the upstream has answered a request, whether or not it ran it.
    auto recordActivity(Core::Instant now) -> void { m_lastActivity = now; }
    /// Applies what the upstream says of itself. Returns the part that was news.
    auto applySignals(const Ports::UpstreamSignals& signals, Core::Instant now) -> Ports::UpstreamSignals;
    auto recordHealthSignal(HealthSignal signal, Core::Instant now) -> void;
    /// Excludes the upstream from new requests until a health check succeeds.
    auto eject(Core::Instant now) -> void;
    /// Returns true if the result must be announced to the other entry VMs.
    auto recordProbe(const Core::Result<Ports::HealthReport>& report, Core::Instant now) -> bool;
    auto beginProbe(Core::Instant now) -> void;
    /// Excludes the upstream until it has been probed, because it may have become cold unnoticed.
    auto requireProbe(Core::Instant now) -> void;
    /// Schedules a health check without excluding the upstream from requests.
    auto requestProbe() -> void { m_isProbeRequested = true; }
    /// Limits the upstream to one request at a time until it has been probed. It may have restarted unnoticed and be
    /// cold. The probe is less urgent than a requested one.
    auto markUnverified() -> void;
    /// Treats the upstream as cold until at least the given instant, even if it reports an earlier one.
    auto setCold(Core::Instant until) -> void;
    /// Applies another entry VM's probe result. Returns true if it was news. What is known from a notice is not
    /// announced again.
    auto applyNotice(bool isHealthy, Core::Duration coldRemaining, Core::Instant now) -> bool;
    auto recordCachedObject(const ObjectKey& object, Core::Instant now) -> void;

    [[nodiscard]] auto entry() const -> const UpstreamEntry& { return m_entry; }
    /// Returns true if nothing of this state is needed any more.
    [[nodiscard]] auto isRemovable(Core::Instant now) const -> bool;
    /// Returns true if the upstream is draining, has said that it leaves, or is no longer listed.
    [[nodiscard]] auto isLeaving() const -> bool { return !m_isListed || m_entry.isDraining || m_saysLeavingAt; }
    /// Returns true if the upstream has asked for a pause that has not ended.
    [[nodiscard]] auto isPaused(Core::Instant now) const -> bool { return now < m_pausedUntil; }
    [[nodiscard]] auto pausedUntil() const -> Core::Instant { return m_pausedUntil; }
    /// Returns the instant from which neither a pause nor a refusal of a moment ago excludes the upstream.
    [[nodiscard]] auto usableFrom() const -> Core::Instant { return std::max(m_pausedUntil, m_backoffUntil); }
    [[nodiscard]] auto isUsable(Core::Instant now) const -> bool;
    /// Returns true if the last answer is so old that the upstream may have restarted since.
    [[nodiscard]] auto mayHaveRestarted(Core::Instant now) const -> bool;
    [[nodiscard]] auto isUnverified() const -> bool { return m_isUnverified; }
    [[nodiscard]] auto isBusy() const -> bool { return ownLoad() > 0; }
    [[nodiscard]] auto isCold(Core::Instant now) const -> bool { return now < m_coldUntil; }
    [[nodiscard]] auto isProbeDue(Core::Instant now) const -> bool;
    /// Returns true if requests wait for the result of the due probe.
    [[nodiscard]] auto isProbeUrgent() const -> bool { return m_isEjected || m_isProbeRequested; }
    /// Returns the instant from which on a probe may be due.
    [[nodiscard]] auto probeAt() const -> Core::Instant { return m_probeAt; }
    [[nodiscard]] auto hasCached(const ObjectKey& object) const -> bool { return m_cachedObjects.contains(object); }
    /// Returns the share of recent requests that failed or were refused although the upstream seemed to have capacity.
    [[nodiscard]] auto failureShare() const -> double { return m_failureShare; }
    /// Returns the estimated number of requests at the upstream. The part from other entry VMs is the last reported
    /// value, which decays towards their mean over time.
    [[nodiscard]] auto occupancy(double meanOfOthers, Core::Instant now) const -> double;
    /// Returns the number of requests from other entry VMs in the last load report.
    [[nodiscard]] auto othersLoad() const -> double { return m_othersLoad; }
    /// Returns the factor by which work takes longer here than usual.
    [[nodiscard]] auto workTimeFactor(Core::Instant now) const -> double { return m_workTime.factor(now); }
    /// Returns the number of slots; at least 1.
    [[nodiscard]] auto slots() const -> double { return std::max(1U, m_entry.slots.value()); }
    /// Returns true if an open exchange has waited for longer than its limit since the last answer.
    [[nodiscard]] auto isUnresponsive(Core::Instant now) const -> bool;
    /// Returns true if the rate limit of the cold upstream permits a request now.
    [[nodiscard]] auto hasColdAllowance(Core::Instant now) const -> bool;
    /// Charges one request to the rate limit of the cold upstream.
    auto takeColdAllowance(double perSecond, Core::Instant now) -> void;

private:
    /// Returns the number of requests that this entry VM has open at the upstream.
    [[nodiscard]] auto ownLoad() const -> double { return static_cast<double>(m_openExchanges.size() + m_openBodies); }
    auto recordLoad(const Ports::ReportedLoad& load, Core::Instant now) -> void;
    auto evictOldestObject() -> void;
    /// Records that the known process is still running.
    auto markVerified(Core::Instant now) -> void;
    auto recordGoodProbe(Core::Instant now) -> bool;
    /// Returns true if the upstream is cold for longer than was known, beyond the delay of a message.
    [[nodiscard]] auto isColdNews(Core::Duration coldRemaining, Core::Instant now) const -> bool;
    auto recordFailedProbe(Core::ErrorKind kind, Core::Instant now) -> bool;

    UpstreamEntry m_entry;
    std::vector<OpenExchange> m_openExchanges;
    /// Number of large answers whose bodies are still arriving.
    std::size_t m_openBodies = 0;
    double m_othersLoad = 0;
    WorkTimeEstimator m_workTime;
    Core::Instant m_reportedAt;
    Core::Instant m_backoffUntil;
    /// End of the pause that the upstream has asked for.
    Core::Instant m_pausedUntil;
    /// Time at which the upstream first said, in an answer, that it leaves. Holds until the end of this incarnation.
    std::optional<Core::Instant> m_saysLeavingAt;
    Core::Instant m_coldUntil;
    /// Time of the last answer to a request.
    Core::Instant m_lastActivity;
    /// Time of the last answer that shows that the process is the known one.
    Core::Instant m_lastAnswer;
    Core::Instant m_coldAllowanceAt;
    Core::Instant m_probeAt;
    Core::Instant m_probeStartedAt;
    bool m_isListed = true;
    bool m_isEjected = false;
    bool m_isProbing = false;
    bool m_isProbeRequested = false;
    bool m_isUnverified = false;
    /// The last probe, here or at another entry VM, found the address unreachable.
    bool m_isKnownDown = false;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_failedProbes = 0;
    double m_failureShare = 0;
    std::unordered_map<ObjectKey, Core::Instant> m_cachedObjects;
};

} // namespace Forwarding
