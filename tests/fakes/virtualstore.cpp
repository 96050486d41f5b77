#include "fakes/virtualstore.h"

namespace Fakes {

namespace {

    constexpr Core::Millis callTimeout { 1000 };

    auto unavailable() -> tl::unexpected<Core::Error>
    {
        return Core::fail(Core::ErrorKind::Unavailable, "the store is unavailable", "try again later");
    }

    auto responseLost() -> tl::unexpected<Core::Error>
    {
        return Core::fail(Core::ErrorKind::OutcomeUnknown, "the response was lost", "read the object");
    }

} // namespace

auto VirtualStore::object(const std::string& name) const -> Ports::StoredObject
{
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? Ports::StoredObject() : found->second;
}

auto VirtualStore::put(const std::string& name, std::string text) -> Core::Version
{
    auto& object = m_objects[name];
    object = { Core::Version(object.version.value() + 1), std::move(text) };
    if (!m_faults.stallWatches)
        notifyWatches(name);
    return object.version;
}

auto VirtualStore::isReachable(const NodeId& node) const -> bool
{
    return !m_faults.outage && !m_disconnected.contains(node);
}

auto VirtualStore::notifyWatches(const std::string& name) -> void
{
    const auto object = this->object(name);
    std::erase_if(m_watches, [&](const std::shared_ptr<Watch>& watch) {
        if (watch->isDone || watch->name != name || watch->after >= object.version)
            return watch->isDone;
        watch->isDone = true;
        if (isReachable(watch->node))
            m_world.post(watch->node, m_faults.delay, [watch, object] { watch->callback(object); });
        return true;
    });
}

auto StoreClient::read(const std::string& name, ObjectCallback callback) -> void
{
    ++m_store.m_callCount;
    m_store.m_world.post(m_node, m_store.m_faults.delay, [this, name, callback = std::move(callback)] {
        const auto object = m_store.object(name);
        if (!m_store.isReachable(m_node))
            callback(unavailable());
        else if (object.version.value() == 0)
            callback(Core::fail(Core::ErrorKind::NotFound, "no such object", "write it first"));
        else
            callback(object);
    });
}

auto StoreClient::write(const std::string& name, Core::Version expected, std::string text, VersionCallback callback)
    -> void
{
    ++m_store.m_callCount;
    auto& store = m_store;
    store.m_world.post(m_node, store.m_faults.delay,
        [&store, node = m_node, name, expected, text = std::move(text), callback = std::move(callback)] {
            if (!store.isReachable(node)) {
                callback(unavailable());
            } else if (store.object(name).version != expected) {
                callback(Core::fail(Core::ErrorKind::Conflict, "the object has another version", "read it again"));
            } else {
                const auto version = store.put(name, text);
                if (store.m_faults.loseWriteAnswers)
                    store.m_world.post(node, callTimeout, [callback] { callback(responseLost()); });
                else
                    callback(version);
            }
        });
}

auto StoreClient::watch(const std::string& name, Core::Version after, Core::Duration timeout, ObjectCallback callback)
    -> void
{
    ++m_store.m_callCount;
    auto& world = m_store.m_world;
    if (!m_store.isReachable(m_node)) {
        world.post(m_node, m_store.m_faults.delay, [callback = std::move(callback)] { callback(unavailable()); });
        return;
    }
    const auto watch
        = std::make_shared<VirtualStore::Watch>(VirtualStore::Watch { m_node, name, after, std::move(callback) });
    m_store.m_watches.push_back(watch);
    if (!m_store.m_faults.stallWatches)
        m_store.notifyWatches(name);
    world.post(m_node, timeout, [watch] {
        if (std::exchange(watch->isDone, true))
            return;
        watch->callback(Core::fail(Core::ErrorKind::Timeout, "the object has not changed", "watch again"));
    });
}

} // namespace Fakes
