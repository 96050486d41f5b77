#pragma once

#include "fakes/virtualworld.h"
#include "ports/objectstore.h"

#include <list>

namespace Fakes {

/// Faults that a VirtualStore injects.
struct StoreFaults {
    bool outage = false;
    /// Writes take effect, but fail with OutcomeUnknown.
    bool loseWriteAnswers = false;
    /// Watches are not notified of changes.
    bool stallWatches = false;
    Core::Duration delay = Core::Millis(5);
};

/// Simulates the platform's object store in virtual time, with versions, conditional updates and watches.
class VirtualStore {
public:
    explicit VirtualStore(VirtualWorld& world)
        : m_world(world)
    {
    }

    auto setFaults(StoreFaults faults) -> void { m_faults = faults; }
    [[nodiscard]] auto faults() const -> const StoreFaults& { return m_faults; }
    /// Disconnects the node from the store until heal(). Its calls fail with Unavailable.
    auto disconnect(const NodeId& node) -> void { m_disconnected.insert(node); }
    auto heal() -> void { m_disconnected.clear(); }
    [[nodiscard]] auto object(const std::string& name) const -> Ports::StoredObject;
    /// Writes unconditionally, as another tool of the platform would.
    auto put(const std::string& name, std::string text) -> Core::Version;
    [[nodiscard]] auto calls() const -> std::size_t { return m_callCount; }

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
    auto notifyWatches(const std::string& name) -> void;

    VirtualWorld& m_world;
    StoreFaults m_faults;
    std::set<NodeId> m_disconnected;
    std::map<std::string, Ports::StoredObject> m_objects;
    std::list<std::shared_ptr<Watch>> m_watches;
    std::size_t m_callCount = 0;
};

/// Implements the object store port for one node.
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
