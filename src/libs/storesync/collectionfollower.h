#pragma once

#include "ports/clock.h"
#include "ports/collectionstore.h"
#include "ports/eventsink.h"
#include "ports/randomsource.h"
#include "ports/scheduler.h"
#include "storesync/collectioncopy.h"
#include "storesync/readpace.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace StoreSync {

/// Number of answers of the store since the start.
struct ReadCounts {
    std::uint64_t lists = 0;
    /// Lists that were not applied because a later copy was known.
    std::uint64_t unappliedLists = 0;
    /// Watches from a revision whose later changes the store no longer had.
    std::uint64_t lostHistories = 0;
};

/// Keeps a listener in sync with one collection: lists it, watches from the list's revision, and lists again whenever
/// the store cannot report the changes.
class CollectionFollower : public std::enable_shared_from_this<CollectionFollower> {
public:
    struct Environment {
        const Ports::Clock& clock;
        Ports::CollectionStore& store;
        Ports::Scheduler& scheduler;
        Ports::RandomSource& random;
        Ports::EventSink& events;
        CollectionMirror& mirror;
        /// Time between the answer to a watch and the next watch. Changes gather meanwhile, because each call to the
        /// store has a cost; a change may be known this much later.
        Core::Duration batchingDelay = Core::Millis(500);
        /// Called after each list that came from the store itself.
        std::function<void()> storeAnswered = [] {};
        /// Called at the first of several consecutive failures. From then on, changes in the store are not noticed.
        std::function<void()> storeFailed = [] {};
        /// Called after each change of the copy, from whichever source.
        std::function<void()> changed = [] {};
        /// Called with the era of each answer of the store and of each copy that is applied.
        std::function<void(Ports::StoreEra)> eraSeen = [](Ports::StoreEra) {};
        /// Time for which items that a store that returned from an older copy lacks count as existing.
        Core::Duration returnHold = Core::Millis(2000);
        /// Returns true if the copy shows what the store has now. Held items are not given up before.
        std::function<bool()> isCurrent = [] { return true; };
    };

    CollectionFollower(Ports::CollectionName name, CollectionListener& listener, Environment environment);

    auto start() -> void;
    /// Cancels the pending watch and lists again. To be called after an outage of the store.
    auto refresh() -> void;
    auto stop() -> void;
    /// Stops reading the store until resume(), because another entry VM passes its changes on.
    auto suspend() -> void;
    /// Reads the store again, beginning with a list.
    auto resume() -> void;
    /// A patient follower retries more slowly and relies on refresh() to be told of the end of an outage.
    auto setPatient(bool isPatient) -> void;
    /// To be called when the store was seen in this era. Copies of earlier ones are not applied from then on, and the
    /// collection is listed if the local copy is of an earlier one.
    auto expectEra(Ports::StoreEra era) -> void;
    /// Returns true if the store reports changes to this entry VM.
    [[nodiscard]] auto isReading() const -> bool;
    /// Applies another entry VM's copy of the collection if it is newer than the local one. Returns true if it did so.
    auto applyIfNewer(const Ports::CollectionList& list) -> bool;
    /// Applies another entry VM's changes if the local copy is at their base. Returns true if it did so.
    auto applyChangesSince(const ChangesSince& since) -> bool;
    [[nodiscard]] auto name() const -> const Ports::CollectionName& { return m_name; }
    [[nodiscard]] auto revision() const -> Ports::StoreRevision;
    [[nodiscard]] auto counts() const -> ReadCounts;

private:
    auto list() -> void;
    auto watch() -> void;
    /// Cancels the pending call, whose answer no longer counts.
    auto cancelCall() -> void;
    /// Returns the pending call, whose answer no longer counts. The caller must hold m_mutex and cancel the call after
    /// it.
    [[nodiscard]] auto endRead() -> std::shared_ptr<Ports::StoreCall>;
    enum class Read { List, Watch };
    /// Returns the number of the call that is about to be made, or nothing if the store is not to be read.
    [[nodiscard]] auto beginCall(Read read) -> std::optional<std::uint64_t>;
    [[nodiscard]] auto isCurrent(std::uint64_t callNumber) const -> bool;
    /// `knownBefore` is the revision that was known when the list was asked for.
    auto handleList(const Core::Result<Ports::CollectionList>& result, Ports::StoreRevision knownBefore,
        std::uint64_t callNumber) -> void;
    auto handleChanges(const Core::Result<Ports::CollectionChanges>& result, Ports::StoreRevision base) -> void;
    auto retryLater(const Core::Error& error) -> void;
    /// Lists because the answer to a read cannot be built on.
    auto listAfterUselessAnswer() -> void;
    /// The caller must hold m_mutex.
    [[nodiscard]] auto longestRetryDelay() const -> Core::Duration;
    auto recordRecovery() -> void;
    auto recordHistoryLoss(const Core::Error& error, Ports::StoreRevision base) -> void;
    auto countList(bool isApplied) -> void;
    auto schedule(Core::Duration delay, void (CollectionFollower::*step)()) -> void;

    const Ports::CollectionName m_name;
    const Environment m_environment;
    const std::shared_ptr<CollectionCopy> m_copy;
    mutable std::mutex m_mutex;
    /// The store has answered a list since reading began.
    bool m_isLoadedByStore = false;
    bool m_isStopped = false;
    bool m_isSuspended = true;
    bool m_isPatient = false;
    /// A list is under way.
    bool m_isListing = false;
    /// Era of the revision from which the pending watch began.
    std::optional<Ports::StoreEra> m_watchedEra;
    /// Number of the pending list or watch. After answers to earlier ones, reading does not go on.
    std::uint64_t m_callNumber = 0;
    std::uint32_t m_failures = 0;
    ReadPace m_pace;
    ReadCounts m_counts;
    std::shared_ptr<Ports::StoreCall> m_call;
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace StoreSync
