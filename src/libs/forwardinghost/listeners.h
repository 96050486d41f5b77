#pragma once

#include "entryfleet/entryfleet.h"
#include "forwarding/forwarder.h"
#include "forwarding/upstreamregistry.h"
#include "forwardinghost/platformcodec.h"
#include "storesync/storewatchdog.h"

#include <map>

namespace ForwardingHost {

/// Dependencies shared by the listeners of one process.
struct ListenerEnvironment {
    const PlatformCodec& codec;
    const Ports::Clock& clock;
    Ports::EventSink& events;
};

/// Base class of listeners that decode items. Items that cannot be decoded are skipped and recorded, each revision
/// once.
class DecodingListener : public StoreSync::CollectionListener {
public:
    explicit DecodingListener(ListenerEnvironment environment)
        : m_environment(environment)
    {
    }
    auto commit() -> void override { }

protected:
    [[nodiscard]] auto environment() const -> const ListenerEnvironment& { return m_environment; }
    auto recordDecodeError(const Ports::CollectionItem& item, const Core::Error& error) -> void;

private:
    const ListenerEnvironment m_environment;
    /// Last recorded revision of each item that could not be decoded.
    std::map<std::string, Ports::StoreRevision> m_recorded;
};

/// Applies each configuration that is newer than all previous ones and ignores the others.
class ConfigurationListener : public DecodingListener {
public:
    using ChangedCallback = std::function<void(std::shared_ptr<const Forwarding::RoutingConfiguration>)>;

    ConfigurationListener(ListenerEnvironment environment, ChangedCallback changed);

    auto replaceAll(const Ports::CollectionList& list) -> void override;
    auto mergeReturned(const Ports::CollectionList& list) -> void override;
    auto upsert(const Ports::CollectionItem& item) -> void override;
    auto remove(const std::string& name) -> void override;

private:
    const ChangedCallback m_changed;
    Core::Version m_version;
};

/// Applies changes of the upstream collection to the registry.
class UpstreamListener : public DecodingListener {
public:
    UpstreamListener(ListenerEnvironment environment, Forwarding::UpstreamRegistry& registry);

    auto replaceAll(const Ports::CollectionList& list) -> void override;
    auto mergeReturned(const Ports::CollectionList& list) -> void override;
    auto upsert(const Ports::CollectionItem& item) -> void override;
    auto remove(const std::string& name) -> void override;
    auto giveUp(const std::string& name) -> void override;
    auto commit() -> void override;

private:
    [[nodiscard]] auto decode(const Ports::CollectionItem& item) const -> Core::Result<Forwarding::UpstreamEntry>;
    /// Leaves out the items that cannot be decoded.
    [[nodiscard]] auto decode(const Ports::CollectionList& list) -> std::vector<Forwarding::UpstreamEntry>;

    Forwarding::UpstreamRegistry& m_registry;
    /// Era of the last list.
    Ports::StoreEra m_era;
};

/// Maintains the set of evacuated failure domains and records when an evacuation starts or ends.
class EvacuationListener : public DecodingListener {
public:
    using ChangedCallback = std::function<void(const Forwarding::EvacuatedDomains&)>;

    EvacuationListener(ListenerEnvironment environment, ChangedCallback changed);

    auto replaceAll(const Ports::CollectionList& list) -> void override;
    auto mergeReturned(const Ports::CollectionList& list) -> void override;
    auto upsert(const Ports::CollectionItem& item) -> void override;
    auto remove(const std::string& name) -> void override;
    auto commit() -> void override;

private:
    const ChangedCallback m_changed;
    Forwarding::EvacuatedDomains m_domains;
};

/// Applies changes of the entry VM collection to the fleet.
class EntryVmListener : public DecodingListener {
public:
    using ChangedCallback = std::function<void()>;

    EntryVmListener(ListenerEnvironment environment, EntryFleet::EntryFleet& fleet, ChangedCallback changed);

    auto replaceAll(const Ports::CollectionList& list) -> void override;
    auto mergeReturned(const Ports::CollectionList& list) -> void override;
    auto upsert(const Ports::CollectionItem& item) -> void override;
    auto remove(const std::string& name) -> void override;
    auto commit() -> void override;

private:
    /// Leaves out the items that cannot be decoded.
    [[nodiscard]] auto decode(const Ports::CollectionList& list) -> std::vector<EntryFleet::EntryVmEntry>;

    EntryFleet::EntryFleet& m_fleet;
    const ChangedCallback m_changed;
};

} // namespace ForwardingHost
