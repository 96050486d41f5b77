#pragma once

#include "fakes/virtualworld.h"
#include "ports/collectionstore.h"

#include <deque>
#include <list>

namespace Fakes {

/// Faults of the collection store.
struct CollectionFaults {
    bool isUnavailable = false;
    /// Calls take effect, but their answers are lost.
    bool losesAnswers = false;
    Core::Duration delay = usualDelay;
    /// Watches that wait when the store goes away, or returns from a copy, are never answered.
    bool forgetsWatches = false;

    static constexpr Core::Millis usualDelay { 4 };
    [[nodiscard]] auto isDegraded() const -> bool { return isUnavailable || losesAnswers || delay > usualDelay; }
};

/// The platform's collection store in virtual time, with one revision counter, watches, a history that can be dropped,
/// and a copy from which it can return.
class VirtualCollections {
public:
    explicit VirtualCollections(VirtualWorld& world)
        : m_world(world)
    {
    }

    auto setFaults(CollectionFaults faults) -> void;
    [[nodiscard]] auto faults() const -> const CollectionFaults& { return m_faults; }
    /// Makes the store unreachable for the VM.
    auto denyAccess(const NodeId& vm) -> void;
    auto restoreAccess() -> void { m_deniedVms.clear(); }
    [[nodiscard]] auto isReachable(const NodeId& vm) const -> bool;
    /// Returns the number of lists, watches and writes that all VMs have begun, also those that failed. Pings are cheap
    /// and counted apart.
    [[nodiscard]] auto calls() const -> std::size_t { return m_calls; }
    [[nodiscard]] auto pings() const -> std::size_t { return m_pings; }

    auto put(const Ports::CollectionName& collection, const std::string& name, std::string text) -> void;
    auto remove(const Ports::CollectionName& collection, const std::string& name) -> void;
    /// Withholds changes from the watches for a second, then drops the history and ends all watches.
    auto dropHistory() -> void;

    struct ItemName {
        Ports::CollectionName collection;
        std::string name;
    };

    /// Keeps a copy of the whole state, from which the store can return.
    auto keepCopy() -> void { m_copy = m_state; }
    /// Goes back to the copy in a new era and ends all watches. Returns the items that were written or removed since.
    auto returnToCopy() -> std::vector<ItemName>;
    [[nodiscard]] auto era() const -> Ports::StoreEra { return m_era; }
    [[nodiscard]] auto revision() const -> Ports::StoreRevision;

private:
    friend class CollectionClient;

    using Items = std::map<std::string, Ports::CollectionItem>;

    struct Change {
        Ports::CollectionName collection;
        Ports::CollectionChange change;
    };

    struct Watch {
        NodeId vm;
        Ports::CollectionName collection;
        Ports::StoreRevision after;
        Ports::CollectionStore::ChangesCallback callback;
        bool isDone = false;
        bool isForgotten = false;
    };

    /// What a copy keeps. The revisions in it are of no era, since the store states its present one in each answer.
    struct State {
        std::map<Ports::CollectionName, Items> items;
        std::deque<Change> history;
        std::uint64_t revision = 1;
        /// Changes up to this revision have been dropped from the history.
        std::uint64_t compactedRevision = 1;
    };

    auto append(const Ports::CollectionName& collection, Ports::CollectionChange change) -> void;
    [[nodiscard]] auto list(const Ports::CollectionName& collection) const -> Ports::CollectionList;
    [[nodiscard]] auto changesOf(const Watch& watch) const -> Ports::CollectionChanges;
    /// Answers the watch if there are changes for it.
    auto notifyWatch(const std::shared_ptr<Watch>& watch) -> void;
    auto endWatches(const std::function<bool(const Watch&)>& isEnded) -> void;
    /// Ends all watches, or forgets them.
    auto dropWatches() -> void;
    [[nodiscard]] auto hasChangesSince(std::uint64_t revision) const -> bool;
    [[nodiscard]] auto inPresentEra(Ports::CollectionItem item) const -> Ports::CollectionItem;

    VirtualWorld& m_world;
    CollectionFaults m_faults;
    std::set<NodeId> m_deniedVms;
    State m_state;
    State m_copy;
    Ports::StoreEra m_era;
    bool m_areWatchesMuted = false;
    std::size_t m_calls = 0;
    std::size_t m_pings = 0;
    std::list<std::shared_ptr<Watch>> m_watches;
};

/// Client of the collection store for one VM's process.
class CollectionClient : public Ports::CollectionStore {
public:
    CollectionClient(VirtualCollections& store, NodeId vm)
        : m_store(store)
        , m_vm(std::move(vm))
    {
    }

    auto list(const Ports::CollectionName& name, ListCallback callback) -> void override;
    auto watch(const Ports::CollectionName& name, Ports::StoreRevision after, Core::Millis wait,
        ChangesCallback callback) -> std::shared_ptr<Ports::StoreCall> override;
    auto ping(DoneCallback callback) -> void override;
    auto put(const Ports::CollectionName& name, const Ports::CollectionItem& item, DoneCallback callback)
        -> void override;

private:
    /// Runs the call at the store and returns its result, or an error after a delay.
    template <typename Result>
    auto call(std::function<Result()> work, std::function<void(Core::Result<Result>)> callback) -> void;

    /// Returns a task that does nothing once the process has ended.
    [[nodiscard]] auto whileAlive(Ports::Scheduler::Task task) const -> Ports::Scheduler::Task;

    VirtualCollections& m_store;
    const NodeId m_vm;
    const std::shared_ptr<bool> m_life = std::make_shared<bool>(true);
};

} // namespace Fakes
