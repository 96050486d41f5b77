#pragma once

#include "entryfleet/entryvmentry.h"
#include "forwarding/servicepool.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/scheduler.h"

#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace EntryFleet {

/// What this entry VM knows of the others. The store lists them; heartbeats inside the region tell which of them live.
/// Only entry VMs of the own region exchange heartbeats, so that the cost of one does not grow with the fleet.
class EntryFleet : public Forwarding::EntryVmView {
public:
    /// Interval of heartbeats.
    static constexpr Core::Millis heartbeatInterval { 700 };
    /// An entry VM that was silent for longer is left out of look-up answers.
    static constexpr Core::Millis silenceLimit { 2300 };
    /// Longest time between two own heartbeats of a process that runs. After a longer one it was held up, and has
    /// missed those of the others.
    static constexpr Core::Millis longestBeatGap { 2 * heartbeatInterval };

    struct Environment {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::EventSink& events;
        HeartbeatPort& heartbeats;
        /// Called when this process goes on after it was held up for so long that it missed what others told it.
        std::function<void()> heldUp = [] {};
    };

    EntryFleet(EntryVmEntry self, Environment environment);

    auto replaceAll(const std::vector<EntryVmEntry>& entries) -> void;
    auto upsert(const EntryVmEntry& entry) -> void;
    auto remove(const Core::EntryVmId& id) -> void;
    auto receive(const Heartbeat& heartbeat) -> void;
    /// Starts to send heartbeats.
    auto start() -> void;
    /// Tells the others at once that this entry VM takes no new callers.
    auto leave() -> void;

    /// Entry VMs of the region that take callers, this one included while it does.
    [[nodiscard]] auto callerAddresses() const -> std::vector<Core::Address>;
    /// Where to send messages to the other entry VMs: those of the region that live, after them all others.
    [[nodiscard]] auto peerAddresses() const -> std::vector<Core::Address>;
    /// Entry VMs that the store lists, this one included.
    [[nodiscard]] auto listedCount() const -> std::size_t;
    [[nodiscard]] auto isOwner(const Forwarding::UpstreamEntry& upstream) const -> bool override;
    [[nodiscard]] auto regionalCount() const -> std::size_t override;

private:
    struct Member {
        EntryVmEntry entry;
        Core::Instant lastHeard;
        bool isLeaving = false;
        bool wasAlive = false;
    };

    [[nodiscard]] auto isAlive(const Member& member, Core::Instant now) const -> bool;
    /// Another entry VM of the region that lives and is not about to stop.
    [[nodiscard]] auto takesCallers(const Member& member, Core::Instant now) const -> bool;
    [[nodiscard]] auto isNeighbour(const EntryVmEntry& entry) const -> bool;
    auto put(const EntryVmEntry& entry) -> void;
    auto beat() -> void;
    /// Does not count the time in which this process was held up as silence of the others.
    [[nodiscard]] auto noteHoldUp(Core::Instant now) -> bool;
    /// Until when this process was there to hear the others.
    [[nodiscard]] auto listenedUntil(Core::Instant now) const -> Core::Instant;
    auto sendToNeighbours() -> void;
    auto recordChanges(Core::Instant now) -> void;

    const EntryVmEntry m_self;
    const Environment m_environment;
    mutable std::mutex m_mutex;
    std::map<Core::EntryVmId, Member> m_members;
    bool m_isLeaving = false;
    Core::Instant m_lastBeat;
    /// Before, the others may not have been heard yet.
    Core::Instant m_ownsFrom = Core::Instant::max();
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace EntryFleet
