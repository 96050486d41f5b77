#pragma once

#include "fakes/virtualworld.h"
#include "ports/objectstore.h"

#include <list>

namespace Fakes {

/// Faults of the platform's store.
struct StoreFaults {
    bool outage = false;
    /// Writes take effect and their answer is lost.
    bool loseWriteAnswers = false;
    /// Watches never learn of a change.
    bool stallWatches = false;
    Core::Duration delay = Core::Millis(5);
};

/// The platform's object API in virtual time: versions, conditional updates and watches.
class VirtualStore {
public:
    explicit VirtualStore(VirtualWorld& world)
        : m_world(world)
    {
    }

    auto setFaults(StoreFaults faults) -> void { m_faults = faults; }
    [[nodiscard]] auto faults() const -> const StoreFaults& { return m_faults; }
    /// Cut off from the store; the node's calls time out.
    auto cutOff(const NodeId& node) -> void { m_cutOff.insert(node); }
    auto heal() -> void { m_cutOff.clear(); }
    [[nodiscard]] auto object(const std::string& name) const -> Ports::StoredObject;
    /// Writes without a condition, as another tool of the platform would.
    auto put(const std::string& name, std::string text) -> Core::Version;
    [[nodiscard]] auto calls() const -> std::size_t { return m_calls; }

private:
    friend class StoreClient;
    struct Watch {
        NodeId node;
        std::string name;
        Core::Version after;
        Ports::ObjectStore::ObjectCallback callback;
        bool isDone = false;
    };

    [[nodiscard]] auto isReachable(const NodeId& node) const -> bool;
    auto wake(const std::string& name) -> void;

    VirtualWorld& m_world;
    StoreFaults m_faults;
    std::set<NodeId> m_cutOff;
    std::map<std::string, Ports::StoredObject> m_objects;
    std::list<std::shared_ptr<Watch>> m_watches;
    std::size_t m_calls = 0;
};

/// The store as one node sees it.
class StoreClient : public Ports::ObjectStore {
public:
    StoreClient(VirtualStore& store, NodeId node)
        : m_store(store)
        , m_node(std::move(node))
    {
    }

    auto read(const std::string& name, ObjectCallback callback) -> void override;
    auto write(const std::string& name, Core::Version expected, std::string text, VersionCallback callback)
        -> void override;
    auto watch(const std::string& name, Core::Version after, Core::Duration timeout, ObjectCallback callback)
        -> void override;

private:
    VirtualStore& m_store;
    NodeId m_node;
};

} // namespace Fakes
