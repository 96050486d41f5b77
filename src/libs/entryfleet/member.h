#pragma once

#include "entryfleet/entryvmentry.h"

namespace EntryFleet {

/// Another entry VM, and what its heartbeats tell of the process that runs on it. The store may list an earlier
/// process, or none.
class Member {
public:
    /// Time without a heartbeat after which the process counts as dead.
    static constexpr Core::Millis heartbeatTimeout { 2300 };

    /// The process counts as alive after its first heartbeat: the store's entry outlives its process.
    Member(const EntryVmEntry& entry, Core::Instant now);

    /// Applies the entry of the store's list.
    auto list(const EntryVmEntry& entry, Core::Instant now) -> void;
    auto markUnlisted() -> void { m_isListed = false; }
    /// Applies the heartbeat. Returns false if it is from a process that has been succeeded by another one.
    auto receive(const Heartbeat& heartbeat, Core::Instant now) -> bool;
    /// Does not count the gap, in which this process was paused, as silence of the member.
    auto excludePause(Core::Duration gap, Core::Instant now) -> void;
    /// Sets whether the member was last seen alive. Returns true if that is news.
    auto setWasAlive(bool isAlive) -> bool;

    [[nodiscard]] auto entry() const -> const EntryVmEntry& { return m_entry; }
    [[nodiscard]] auto isListed() const -> bool { return m_isListed; }
    [[nodiscard]] auto isLeaving() const -> bool { return m_isLeaving; }
    [[nodiscard]] auto isBusy() const -> bool { return m_isBusy; }
    [[nodiscard]] auto lastHeartbeat() const -> Core::Instant { return m_lastHeartbeat; }
    /// Missing heartbeats count up to the given instant.
    [[nodiscard]] auto isAlive(Core::Instant observedUntil) const -> bool;

private:
    auto track(Core::ProcessStartId start, Core::Instant now) -> void;
    [[nodiscard]] auto isCurrent(Core::ProcessStartId start, Core::Instant now) const -> bool;

    EntryVmEntry m_entry;
    /// Start of the process that is tracked.
    Core::ProcessStartId m_start;
    /// Time at which that process became known.
    Core::Instant m_knownSince;
    Core::Instant m_lastHeartbeat;
    bool m_isListed = false;
    bool m_isLeaving = false;
    bool m_isBusy = false;
    bool m_wasAlive = false;
};

} // namespace EntryFleet
