#include "fakes/forwarding/virtualcollections.h"

namespace Fakes {

namespace {

    /// Timeout of a call without an answer.
    constexpr Core::Millis callTimeout { 700 };
    /// Time for which changes are withheld from watches before the history is dropped.
    constexpr Core::Millis muteTimeBeforeDrop { 1000 };
    const NodeId storeNode { "store" };

    auto unreachable() -> tl::unexpected<Core::Error>
    {
        return Core::fail(Core::ErrorKind::Unreachable, "the store does not answer", "try again");
    }

} // namespace

auto VirtualCollections::setFaults(CollectionFaults faults) -> void
{
    m_faults = faults;
    if (m_faults.isUnavailable)
        dropWatches();
}

auto VirtualCollections::denyAccess(const NodeId& vm) -> void
{
    m_deniedVms.insert(vm);
    endWatches([&vm](const Watch& watch) { return watch.vm == vm; });
}

auto VirtualCollections::isReachable(const NodeId& vm) const -> bool
{
    return !m_faults.isUnavailable && !m_deniedVms.contains(vm);
}

auto VirtualCollections::put(const Ports::CollectionName& collection, const std::string& name, std::string text) -> void
{
    const Ports::CollectionItem item { name, Ports::StoreRevision(++m_state.revision), std::move(text) };
    m_state.items[collection][name] = item;
    append(collection, { item, false });
}

auto VirtualCollections::remove(const Ports::CollectionName& collection, const std::string& name) -> void
{
    auto removed = m_state.items[collection].extract(name);
    if (removed.empty())
        return;
    removed.mapped().revision = Ports::StoreRevision(++m_state.revision);
    append(collection, { removed.mapped(), true });
}

auto VirtualCollections::append(const Ports::CollectionName& collection, Ports::CollectionChange change) -> void
{
    m_state.history.push_back({ collection, std::move(change) });
    const auto waiting = m_watches;
    for (const auto& watch : waiting)
        notifyWatch(watch);
}

auto VirtualCollections::dropHistory() -> void
{
    m_areWatchesMuted = true;
    m_world.post(storeNode, muteTimeBeforeDrop, [this] {
        m_areWatchesMuted = false;
        m_state.history.clear();
        m_state.compactedRevision = m_state.revision;
        endWatches([](const Watch&) { return true; });
    });
}

auto VirtualCollections::returnToCopy() -> std::vector<ItemName>
{
    const auto lost = std::exchange(m_state, m_copy);
    m_era = Ports::StoreEra(m_era.value() + 1);
    std::set<std::pair<Ports::CollectionName, std::string>> changed;
    const auto addDifferences = [&changed](const State& one, const State& other) {
        for (const auto& [collection, items] : one.items) {
            const auto found = other.items.find(collection);
            for (const auto& [name, item] : items) {
                if (found == other.items.end() || !found->second.contains(name)
                    || found->second.at(name).revision != item.revision)
                    changed.emplace(collection, name);
            }
        }
    };
    addDifferences(lost, m_state);
    addDifferences(m_state, lost);
    dropWatches();
    std::vector<ItemName> result;
    for (const auto& [collection, name] : changed)
        result.push_back({ collection, name });
    return result;
}

auto VirtualCollections::revision() const -> Ports::StoreRevision
{
    return Ports::StoreRevision(m_state.revision, m_era);
}

auto VirtualCollections::hasChangesSince(std::uint64_t revision) const -> bool
{
    return revision >= m_state.compactedRevision && revision <= m_state.revision;
}

auto VirtualCollections::inPresentEra(Ports::CollectionItem item) const -> Ports::CollectionItem
{
    item.revision = Ports::StoreRevision(item.revision.number(), m_era);
    return item;
}

auto VirtualCollections::dropWatches() -> void
{
    if (!m_faults.forgetsWatches) {
        endWatches([](const Watch&) { return true; });
        return;
    }
    for (const auto& watch : std::exchange(m_watches, {}))
        watch->isForgotten = true;
}

auto VirtualCollections::list(const Ports::CollectionName& collection) const -> Ports::CollectionList
{
    Ports::CollectionList result;
    result.revision = revision();
    if (const auto found = m_state.items.find(collection); found != m_state.items.end()) {
        for (const auto& [name, item] : found->second)
            result.items.push_back(inPresentEra(item));
    }
    return result;
}

auto VirtualCollections::changesOf(const Watch& watch) const -> Ports::CollectionChanges
{
    Ports::CollectionChanges changes;
    changes.revision = revision();
    for (const auto& [collection, change] : m_state.history) {
        if (collection == watch.collection && change.item.revision.number() > watch.after.number())
            changes.changes.push_back({ inPresentEra(change.item), change.isDeleted });
    }
    return changes;
}

auto VirtualCollections::notifyWatch(const std::shared_ptr<Watch>& watch) -> void
{
    auto changes = changesOf(*watch);
    if (watch->isDone || m_areWatchesMuted || changes.changes.empty())
        return;
    watch->isDone = true;
    m_watches.remove(watch);
    m_world.post(storeNode, m_faults.delay, [watch, changes = std::move(changes)] { watch->callback(changes); });
}

auto VirtualCollections::endWatches(const std::function<bool(const Watch&)>& isEnded) -> void
{
    for (const auto& watch : std::list(m_watches)) {
        if (!isEnded(*watch))
            continue;
        watch->isDone = true;
        m_watches.remove(watch);
        watch->callback(unreachable());
    }
}

template <typename Result>
auto CollectionClient::call(std::function<Result()> work, std::function<void(Core::Result<Result>)> callback) -> void
{
    auto& world = m_store.m_world;
    const auto delay = m_store.m_faults.delay;
    if (!m_store.isReachable(m_vm)) {
        const auto failureDelay = world.chance(0.5) ? delay : Core::Duration(callTimeout);
        world.post(m_vm, failureDelay, whileAlive([callback = std::move(callback)] { callback(unreachable()); }));
        return;
    }
    world.post(storeNode, delay,
        [this, &store = m_store, vm = m_vm, life = std::weak_ptr(m_life), work = std::move(work),
            callback = std::move(callback)] {
            const auto result = work();
            if (life.expired())
                return;
            if (store.m_faults.losesAnswers)
                store.m_world.post(vm, callTimeout, whileAlive([callback] { callback(unreachable()); }));
            else
                store.m_world.post(vm, store.m_faults.delay, whileAlive([callback, result] { callback(result); }));
        });
}

auto CollectionClient::whileAlive(Ports::Scheduler::Task task) const -> Ports::Scheduler::Task
{
    return [life = std::weak_ptr(m_life), task = std::move(task)] {
        if (!life.expired())
            task();
    };
}

auto CollectionClient::list(const Ports::CollectionName& name, ListCallback callback) -> void
{
    ++m_store.m_calls;
    call<Ports::CollectionList>([&store = m_store, name] { return store.list(name); }, std::move(callback));
}

auto CollectionClient::ping(DoneCallback callback) -> void
{
    ++m_store.m_pings;
    call<Ports::StoreRevision>([&store = m_store] { return store.revision(); }, std::move(callback));
}

auto CollectionClient::put(const Ports::CollectionName& name, const Ports::CollectionItem& item, DoneCallback callback)
    -> void
{
    ++m_store.m_calls;
    call<Ports::StoreRevision>(
        [&store = m_store, name, item] {
            store.put(name, item.name, item.text);
            return store.revision();
        },
        std::move(callback));
}

namespace {

    class WatchCall : public Ports::StoreCall {
    public:
        explicit WatchCall(std::function<void()> cancelled)
            : m_cancelled(std::move(cancelled))
        {
        }
        auto cancel() -> void override { m_cancelled(); }

    private:
        std::function<void()> m_cancelled;
    };

} // namespace

auto CollectionClient::watch(const Ports::CollectionName& name, Ports::StoreRevision after, Core::Millis wait,
    ChangesCallback callback) -> std::shared_ptr<Ports::StoreCall>
{
    ++m_store.m_calls;
    auto& world = m_store.m_world;
    auto watch = std::make_shared<VirtualCollections::Watch>();
    watch->vm = m_vm;
    watch->collection = name;
    watch->after = after;
    watch->callback = [this, &world, life = std::weak_ptr(m_life), vm = m_vm, callback = std::move(callback)](
                          const Core::Result<Ports::CollectionChanges>& result) {
        if (!life.expired())
            world.post(vm, {}, whileAlive([callback, result] { callback(result); }));
    };
    const auto end = [&store = m_store, watch](Core::Result<Ports::CollectionChanges> result) {
        if (std::exchange(watch->isDone, true))
            return;
        store.m_watches.remove(watch);
        watch->callback(std::move(result));
    };
    auto watchCall = std::make_shared<WatchCall>(
        [end] { end(Core::fail(Core::ErrorKind::OutcomeUnknown, "the watch was cancelled", "list again")); });
    if (!m_store.isReachable(m_vm)) {
        world.post(storeNode, m_store.m_faults.delay, [end] { end(unreachable()); });
        return watchCall;
    }
    if (!m_store.hasChangesSince(after.number())) {
        world.post(storeNode, m_store.m_faults.delay,
            [end] { end(Core::fail(Core::ErrorKind::Conflict, "the history is gone", "list again")); });
        return watchCall;
    }
    m_store.m_watches.push_back(watch);
    world.post(storeNode, wait, [&store = m_store, watch, end] {
        auto changes = store.changesOf(*watch);
        if (!store.m_areWatchesMuted && !watch->isForgotten)
            end(std::move(changes));
    });
    m_store.notifyWatch(watch);
    return watchCall;
}

} // namespace Fakes
