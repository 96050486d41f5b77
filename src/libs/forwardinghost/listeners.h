#pragma once

#include "entryfleet/entryfleet.h"
#include "following/storewatchdog.h"
#include "forwarding/forwarder.h"
#include "forwarding/upstreamregistry.h"
#include "forwardinghost/platformcodec.h"

namespace ForwardingHost {

/// What the listeners of one process share.
struct ListenerEnvironment {
    const PlatformCodec& codec;
    const Ports::Clock& clock;
    Ports::EventSink& events;
};

/// Base of listeners that hold typed entries: skips and records items that can't be read.
class DecodingListener : public Following::CollectionListener {
public:
    explicit DecodingListener(ListenerEnvironment environment)
        : m_environment(environment)
    {
    }
    auto commit() -> void override { }

protected:
    [[nodiscard]] auto environment() const -> const ListenerEnvironment& { return m_environment; }
    auto recordUnreadable(const Ports::CollectionItem& item, const Core::Error& error) -> void;

private:
    const ListenerEnvironment m_environment;
};

/// Puts each newer configuration in force; an older one than the newest seen is ignored.
class ConfigurationListener : public DecodingListener {
public:
    using Changed = std::function<void(std::shared_ptr<const Forwarding::RoutingConfiguration>)>;

    ConfigurationListener(ListenerEnvironment environment, Changed changed);

    auto replaceAll(const Ports::CollectionList& list) -> void override;
    auto upsert(const Ports::CollectionItem& item) -> void override;
    auto remove(const std::string& name) -> void override;

private:
    const Changed m_changed;
    Core::Version m_version;
};

/// Keeps the registry of upstreams.
class UpstreamListener : public DecodingListener {
public:
    UpstreamListener(ListenerEnvironment environment, Forwarding::UpstreamRegistry& registry);

    auto replaceAll(const Ports::CollectionList& list) -> void override;
    auto upsert(const Ports::CollectionItem& item) -> void override;
    auto remove(const std::string& name) -> void override;
    auto commit() -> void override;

private:
    Forwarding::UpstreamRegistry& m_registry;
};

/// Keeps the set of evacuated failure domains.
class EvacuationListener : public DecodingListener {
public:
    using Changed = std::function<void(const Forwarding::EvacuatedDomains&)>;

    EvacuationListener(ListenerEnvironment environment, Changed changed);

    auto replaceAll(const Ports::CollectionList& list) -> void override;
    auto upsert(const Ports::CollectionItem& item) -> void override;
    auto remove(const std::string& name) -> void override;
    auto commit() -> void override;

private:
    const Changed m_changed;
    Forwarding::EvacuatedDomains m_domains;
};

/// Keeps the list of entry VMs.
class EntryVmListener : public DecodingListener {
public:
    using Changed = std::function<void()>;

    EntryVmListener(ListenerEnvironment environment, EntryFleet::EntryFleet& fleet, Changed changed);

    auto replaceAll(const Ports::CollectionList& list) -> void override;
    auto upsert(const Ports::CollectionItem& item) -> void override;
    auto remove(const std::string& name) -> void override;
    auto commit() -> void override;

private:
    EntryFleet::EntryFleet& m_fleet;
    const Changed m_changed;
};

} // namespace ForwardingHost
