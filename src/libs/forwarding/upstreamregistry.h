#pragma once

#include "forwarding/departedupstreams.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/scheduler.h"

#include <functional>
#include <mutex>
#include <optional>

namespace Forwarding {

/// Tracks the upstreams that the store lists. Entries that expire while the store is unreachable are kept, and are
/// removed only if they are still missing after a grace period that starts when the store is reachable again.
class UpstreamRegistry {
public:
    /// Time for upstreams to be listed again after the store has become reachable.
    static constexpr Core::Millis storeReturnGracePeriod { 2000 };

    struct Environment {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::EventSink& events;
    };

    using ChangeCallback = std::function<void(const UpstreamEntries&)>;

    UpstreamRegistry(Environment environment, ChangeCallback changed);

    /// Replaces the whole list. Upstreams that were not known before are marked as possibly outdated if the list may be
    /// stale.
    auto replaceAll(const std::vector<UpstreamEntry>& entries, bool mayBeStale = false) -> void;
    /// Applies the list of a store that has returned from an older copy. Upstreams that are not in it stay; those that
    /// had left, or had said something later, are not brought back.
    auto mergeReturned(const std::vector<UpstreamEntry>& entries) -> void;
    auto upsert(const UpstreamEntry& entry) -> void;
    auto remove(const Core::UpstreamId& id) -> void;
    /// Removes an upstream that the store has lost in this era and that has not registered again. It may do so later.
    auto giveUp(const Core::UpstreamId& id, Ports::StoreEra era) -> void;
    /// Publishes the changes made since the last commit.
    auto commit() -> void;
    /// Marks new upstreams as possibly outdated for a while, because the process has just started or was paused.
    auto expectOutdatedEntries() -> void;
    auto storeLost() -> void;
    /// Called when the store is reachable again, from this VM or from another one that relays its updates.
    auto storeRegained() -> void;

private:
    [[nodiscard]] auto mayBeOutdated(Core::Instant now) const -> bool;
    [[nodiscard]] auto isInGracePeriod(Core::Instant now) const -> bool;
    /// Applies an entry of a list, unless it is an earlier statement than one that is known.
    auto putListed(const UpstreamEntry& entry, bool mayBeStale) -> void;
    /// Does not apply the entry, because a later statement of the upstream is known.
    auto keepLater(const UpstreamEntry& entry, const UpstreamEntry& later) -> void;
    auto put(const UpstreamEntry& entry, bool mayBeStale) -> void;
    /// Returns the later statement that is known, if the entry repeats an earlier one; null otherwise.
    [[nodiscard]] auto laterStatement(const UpstreamEntry& entry) const -> const UpstreamEntry*;
    /// Waits for the end of the time of the upstreams in quarantine. The caller must hold m_mutex.
    auto scheduleReadmission() -> void;
    /// Uses the upstreams that were in quarantine and are still listed.
    auto readmit() -> void;
    auto drop(const Core::UpstreamId& id, Core::Instant now) -> void;
    auto dropMissing() -> void;
    auto record(const char* kind, const UpstreamEntry& entry) -> void;

    const Environment m_environment;
    const ChangeCallback m_changed;
    /// Held while the callback runs, so that an older list is never published after a newer one.
    std::mutex m_commitMutex;
    std::mutex m_mutex;
    UpstreamEntries m_entries;
    /// Entries that expired during an outage of the store or in the grace period after it.
    std::set<Core::UpstreamId> m_missing;
    DepartedUpstreams m_departed;
    bool m_isStoreLost = false;
    std::optional<Core::Instant> m_graceUntil;
    Core::Instant m_outdatedUntil;
    std::unique_ptr<Ports::Timer> m_graceTimer;
    std::unique_ptr<Ports::Timer> m_readmissionTimer;
};

} // namespace Forwarding
