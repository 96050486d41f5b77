#pragma once

#include "forwarding/upstreamlist.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/scheduler.h"

#include <functional>
#include <mutex>
#include <optional>

namespace Forwarding {

/// Upstreams as the store lists them. Entries that lapse while the store is away stay, and are taken as gone only when
/// they are still missing some time after its return.
class UpstreamRegistry {
public:
    /// Time that upstreams have after the store's return to be listed again.
    static constexpr Core::Millis returnTime { 2000 };

    struct Environment {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::EventSink& events;
    };

    using Changed = std::function<void(const UpstreamEntries&)>;

    UpstreamRegistry(Environment environment, Changed changed);

    /// The whole list; what is not in it has left. Upstreams that were not known before are doubted when the list
    /// may be stale.
    auto replaceAll(const std::vector<UpstreamEntry>& entries, bool mayBeStale = false) -> void;
    auto upsert(const UpstreamEntry& entry) -> void;
    auto remove(const Core::UpstreamId& id) -> void;
    /// All changes that came together have been told.
    auto commit() -> void;
    /// For a while entries may be older than what they tell of: the process began, or was held up.
    auto expectOutdatedEntries() -> void;
    auto storeLost() -> void;
    /// The store answers again, this VM or another that passes on what it learns.
    auto storeRegained() -> void;

private:
    [[nodiscard]] auto mayBeOutdated(Core::Instant now) const -> bool;
    [[nodiscard]] auto isGraceTime(Core::Instant now) const -> bool;
    auto put(const UpstreamEntry& entry, bool mayBeStale) -> void;
    auto drop(const Core::UpstreamId& id, Core::Instant now) -> void;
    auto dropMissing() -> void;
    auto record(const char* kind, const UpstreamEntry& entry) -> void;

    const Environment m_environment;
    const Changed m_changed;
    /// Held while the change is told, so that an older list never follows a newer one.
    std::mutex m_commitMutex;
    std::mutex m_mutex;
    UpstreamEntries m_entries;
    /// Entries that lapsed around an outage of the store.
    std::set<Core::UpstreamId> m_missing;
    bool m_isStoreLost = false;
    std::optional<Core::Instant> m_graceUntil;
    Core::Instant m_outdatedUntil;
    std::unique_ptr<Ports::Timer> m_graceTimer;
};

} // namespace Forwarding
