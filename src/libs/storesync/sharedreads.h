#pragma once

#include "storesync/mirrorport.h"
#include "storesync/sourcechoice.h"
#include "storesync/storewatchdog.h"

namespace StoreSync {

/// Decides where this entry VM takes the store's changes from, and polls other VMs for them.
///
/// In a large region, a few VMs read the store and the others follow them. A follower that gets no fresh answer turns
/// to the next VM and, cut off from all of them, to the store. A VM that reads the store itself but does not reach it
/// asks the others in turn. Nothing is agreed on: each VM decides by its own view and by the age of its copies.
class SharedReads : public std::enable_shared_from_this<SharedReads> {
public:
    struct Environment {
        CollectionFollower::Environment follower;
        MirrorPort& port;
        const CollectionMirror& mirror;
        StoreWatchdog& watchdog;
        const SourceView& view;
        /// Collection that lists the entry VMs.
        Ports::CollectionName fleet;
        /// Number of VMs in each region that read the store for the others; none if every VM reads it itself.
        std::size_t watchers = 0;
        /// Called after each fresh answer of another VM while this VM does not reach the store.
        std::function<void()> onRefreshed = [] {};
        /// Called when this VM's source stops or resumes to report changes.
        std::function<void(bool isLost)> sourceLost = [](bool) {};
    };

    explicit SharedReads(Environment environment);

    auto add(const Ports::CollectionName& name, std::shared_ptr<CollectionFollower> follower) -> void;
    /// Starts the followers or their replacement by another VM's copies.
    auto start() -> void;
    /// To be called when the store has answered the registration of this VM. The entry VMs are listed only then,
    /// because those that start together would not see each other before.
    auto handleRegistration(bool isRegistered) -> void;
    auto stop() -> void;
    /// Decides anew at once, because the store has become unreachable.
    auto wake() -> void;
    /// Returns how old this VM's copies are.
    [[nodiscard]] auto contact() const -> StoreContact;
    /// Returns true if the copies show what the store has now, read from there or from a VM whose copies are fresh.
    [[nodiscard]] auto isCurrent() const -> bool;
    /// Returns true if this VM reads the store itself.
    [[nodiscard]] auto isReadingStore() const -> bool;

private:
    enum class Mode { Undecided, ReadingStore, Following };

    /// Learns the ranking of the region from the first list of the entry VMs.
    auto handleFleetList(const Core::Result<Ports::CollectionList>& list) -> void;
    auto readStoreFromStart() -> void;
    [[nodiscard]] auto isUndecided() const -> bool;
    [[nodiscard]] auto isRegionLarge() const -> bool;
    auto step() -> void;
    [[nodiscard]] auto choose(Core::Instant now) -> SourceChoice::Choice;
    [[nodiscard]] auto chooseBeforeViewIsKnown(Core::Instant now) -> SourceChoice::Choice;
    auto readStore() -> void;
    auto follow(const SourceChoice::Choice& choice) -> void;
    auto beginFollowing(const Core::Address& source) -> void;
    /// Polls another VM while this one reads the store, and follows it if its copies are fresh.
    auto probe(const Core::Address& source) -> void;
    /// Returns true if the mode changes.
    auto setMode(Mode mode, const Core::Address& source) -> bool;
    auto refreshFromNextPeer() -> void;
    auto poll(const Core::Address& source, Core::Millis hold) -> void;
    /// `sentIn` is the latest era that was known when the poll was sent.
    auto handleResponse(
        const Core::Address& source, const Core::Result<MirrorResponse>& response, Ports::StoreEra sentIn) -> void;
    auto handleWhileReading(const Core::Address& source, const MirrorResponse& response, bool isFresh, bool isProbe)
        -> void;
    auto handleWhileFollowing(const Core::Address& source, const MirrorResponse& response, bool isFresh) -> void;
    /// Returns true if the source was probed.
    [[nodiscard]] auto endProbe(const Core::Address& source) -> bool;
    auto handleFailure(const Core::Address& source, const Core::Error& error) -> void;
    auto apply(const Core::Address& source, const MirrorNews& news) -> void;
    /// Records the store as lost if the copies are too old and others have said that they do not reach it.
    auto checkAge() -> void;
    [[nodiscard]] auto hasCopies() const -> bool;
    /// Returns true if this VM and the one that answered have both just started. Its copies are worth waiting for.
    [[nodiscard]] auto isStarting(const MirrorResponse& response) const -> bool;
    [[nodiscard]] auto age() const -> Core::Duration;
    auto scheduleStep(Core::Duration delay) -> void;
    [[nodiscard]] auto isReadingAll() const -> bool;
    [[nodiscard]] auto jitter() -> Core::Duration;

    const Environment m_environment;
    std::map<Ports::CollectionName, std::shared_ptr<CollectionFollower>> m_followers;
    mutable std::mutex m_mutex;
    SourceChoice m_choice;
    Mode m_mode = Mode::Undecided;
    Core::Address m_source;
    /// VM that is polled before this one stops to read the store.
    Core::Address m_probed;
    /// The source has answered the last poll.
    bool m_isSourceProven = false;
    /// Number of VMs that the changes pass on their way to this one.
    std::uint32_t m_hops = 0;
    /// The last answer came from a VM that knows of an outage of the store.
    bool m_isToldOfOutage = false;
    bool m_isStopped = false;
    /// So many VMs are in the region that few of them read the store.
    bool m_isRegionLarge = false;
    /// While the ranking is still unknown, this VM reads the store itself from this instant on unless it has copies.
    Core::Instant m_startDeadline;
    /// This VM reads the store itself up to this instant, whatever its view.
    Core::Instant m_readUntil;
    /// Polls in a row that no VM answered.
    std::size_t m_unansweredPolls = 0;
    std::size_t m_nextPeer = 0;
    /// Number of the pending poll. Answers to earlier ones do not lead to further steps.
    std::uint64_t m_pollNumber = 0;
    /// When a fresh answer of another VM was last applied while this VM did not reach the store.
    Core::Instant m_refreshedAt;
    /// Up to when the copies are known to be complete.
    mutable Core::Instant m_completeUntil;
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace StoreSync
