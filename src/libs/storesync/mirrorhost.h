#pragma once

#include "ports/scheduler.h"
#include "storesync/mirrorport.h"

#include <memory>

namespace StoreSync {

/// Answers the polls of other entry VMs from the mirror: at once if there is news or the copies may be outdated,
/// otherwise as soon as that changes, or after the time for which the poll may be held.
class MirrorHost : public std::enable_shared_from_this<MirrorHost> {
public:
    using Respond = std::function<void(const MirrorResponse&)>;

    struct Environment {
        Ports::Scheduler& scheduler;
        const CollectionMirror& mirror;
        std::function<StoreContact()> contact;
        /// Called with the latest era of the store that a poll shows its sender to know.
        std::function<void(Ports::StoreEra)> eraSeen = [](Ports::StoreEra) {};
    };

    explicit MirrorHost(Environment environment);

    auto poll(const MirrorPoll& poll, Respond respond) -> void;
    /// To be called after changes of the mirror, and when contact to the store is lost.
    auto notify() -> void;
    /// Number of polls that are held.
    [[nodiscard]] auto waiting() const -> std::size_t;

private:
    struct Waiter {
        KnownRevisions known;
        Respond respond;
        std::unique_ptr<Ports::Timer> timer;
    };

    [[nodiscard]] auto responseTo(const KnownRevisions& known) const -> MirrorResponse;
    static auto isDue(const MirrorResponse& response) -> bool;
    auto hold(const MirrorPoll& poll, Respond respond) -> void;
    /// Answers a held poll, unless it has been answered.
    auto answer(std::uint64_t number) -> void;

    const Environment m_environment;
    mutable std::mutex m_mutex;
    std::map<std::uint64_t, Waiter> m_waiters;
    std::uint64_t m_nextNumber = 0;
};

} // namespace StoreSync
