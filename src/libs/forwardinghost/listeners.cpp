#include "forwardinghost/listeners.h"

#include <utility>

namespace ForwardingHost {

namespace {

    /// Lists that took longer to arrive are treated as possibly stale: an upstream that restarted in the meantime may
    /// still be listed with its previous start.
    constexpr Core::Millis maximumFreshListAge { 100 };
    /// Number of items for which a listener remembers that it has recorded them as unreadable.
    constexpr std::size_t maximumRecordedItems = 1000;

} // namespace

auto DecodingListener::recordDecodeError(const Ports::CollectionItem& item, const Core::Error& error) -> void
{
    if (m_recorded.size() >= maximumRecordedItems)
        m_recorded.clear();
    const auto [recorded, isFirst] = m_recorded.try_emplace(item.name, item.revision);
    if (!isFirst && std::exchange(recorded->second, item.revision) == item.revision)
        return;
    m_environment.events.record({ Ports::EventKind("store.item-refused"), {},
        { { "item", item.name }, { "revision", std::to_string(item.revision.number()) },
            { "detail", describe(error) } } });
}

ConfigurationListener::ConfigurationListener(ListenerEnvironment environment, ChangedCallback changed)
    : DecodingListener(environment)
    , m_changed(std::move(changed))
{
}

auto ConfigurationListener::replaceAll(const Ports::CollectionList& list) -> void
{
    for (const auto& item : list.items)
        upsert(item);
}

auto ConfigurationListener::mergeReturned(const Ports::CollectionList& list) -> void { replaceAll(list); }

auto ConfigurationListener::upsert(const Ports::CollectionItem& item) -> void
{
    if (item.name != environment().codec.configurationName())
        return;
    const auto configuration = environment().codec.decodeConfiguration(item);
    if (!configuration) {
        recordDecodeError(item, configuration.error());
        return;
    }
    const auto version = (*configuration)->version;
    if (version < m_version) {
        environment().events.record({ Ports::EventKind("configuration.kept"), {},
            { { "version", std::to_string(m_version.value()) }, { "storedVersion", std::to_string(version.value()) },
                { "detail", "the store has an older version; the one in force stays" } } });
    }
    if (version <= m_version)
        return;
    m_version = version;
    environment().events.record({ Ports::EventKind("configuration.in-force"), {},
        { { "version", std::to_string(m_version.value()) }, { "revision", std::to_string(item.revision.number()) },
            { "era", std::to_string(item.revision.era().value()) },
            { "routes", std::to_string((*configuration)->routes.size()) },
            { "organisations", std::to_string((*configuration)->organisations.organisations().size()) } } });
    for (const auto& problem : (*configuration)->problems) {
        environment().events.record({ Ports::EventKind("configuration.problem"), {},
            { { "version", std::to_string(m_version.value()) }, { "detail", describe(problem) } } });
    }
    m_changed(*configuration);
}

auto ConfigurationListener::remove(const std::string& name) -> void
{
    // The configuration in force stays until a newer one replaces it.
    environment().events.record({ Ports::EventKind("configuration.removed"), {}, { { "item", name } } });
}

UpstreamListener::UpstreamListener(ListenerEnvironment environment, Forwarding::UpstreamRegistry& registry)
    : DecodingListener(environment)
    , m_registry(registry)
{
}

auto UpstreamListener::decode(const Ports::CollectionItem& item) const -> Core::Result<Forwarding::UpstreamEntry>
{
    auto entry = environment().codec.decodeUpstream(item, environment().clock.now() - item.age);
    if (entry)
        entry->revision = item.revision;
    return entry;
}

auto UpstreamListener::decode(const Ports::CollectionList& list) -> std::vector<Forwarding::UpstreamEntry>
{
    std::vector<Forwarding::UpstreamEntry> entries;
    for (const auto& item : list.items) {
        const auto entry = decode(item);
        if (entry)
            entries.push_back(*entry);
        else
            recordDecodeError(item, entry.error());
    }
    return entries;
}

auto UpstreamListener::replaceAll(const Ports::CollectionList& list) -> void
{
    m_registry.replaceAll(decode(list), list.age > maximumFreshListAge);
}

auto UpstreamListener::mergeReturned(const Ports::CollectionList& list) -> void
{
    m_era = list.revision.era();
    const auto entries = decode(list);
    m_registry.mergeReturned(entries);
    std::set<Core::UpstreamId> readable;
    for (const auto& entry : entries)
        readable.insert(entry.target.id);
    for (const auto& item : list.items) {
        if (const Core::UpstreamId id(item.name); !readable.contains(id))
            m_registry.giveUp(id, m_era);
    }
}

auto UpstreamListener::upsert(const Ports::CollectionItem& item) -> void
{
    const auto entry = decode(item);
    if (entry) {
        m_registry.upsert(*entry);
        return;
    }
    recordDecodeError(item, entry.error());
    // An entry that cannot be read names no upstream, as in a list.
    m_registry.remove(Core::UpstreamId(item.name));
}

auto UpstreamListener::remove(const std::string& name) -> void { m_registry.remove(Core::UpstreamId(name)); }

auto UpstreamListener::giveUp(const std::string& name) -> void { m_registry.giveUp(Core::UpstreamId(name), m_era); }

auto UpstreamListener::commit() -> void { m_registry.commit(); }

EvacuationListener::EvacuationListener(ListenerEnvironment environment, ChangedCallback changed)
    : DecodingListener(environment)
    , m_changed(std::move(changed))
{
}

auto EvacuationListener::replaceAll(const Ports::CollectionList& list) -> void
{
    auto ended = m_domains;
    for (const auto& item : list.items) {
        ended.erase(Core::FailureDomainId(item.name));
        upsert(item);
    }
    for (const auto& domain : ended)
        remove(domain.value());
}

auto EvacuationListener::mergeReturned(const Ports::CollectionList& list) -> void
{
    for (const auto& item : list.items)
        upsert(item);
}

auto EvacuationListener::upsert(const Ports::CollectionItem& item) -> void
{
    if (!m_domains.insert(Core::FailureDomainId(item.name)).second)
        return;
    environment().events.record({ Ports::EventKind("evacuation.started"), {}, { { "failureDomain", item.name } } });
}

auto EvacuationListener::remove(const std::string& name) -> void
{
    if (m_domains.erase(Core::FailureDomainId(name)) == 0)
        return;
    environment().events.record({ Ports::EventKind("evacuation.ended"), {}, { { "failureDomain", name } } });
}

auto EvacuationListener::commit() -> void { m_changed(m_domains); }

EntryVmListener::EntryVmListener(
    ListenerEnvironment environment, EntryFleet::EntryFleet& fleet, ChangedCallback changed)
    : DecodingListener(environment)
    , m_fleet(fleet)
    , m_changed(std::move(changed))
{
}

auto EntryVmListener::decode(const Ports::CollectionList& list) -> std::vector<EntryFleet::EntryVmEntry>
{
    std::vector<EntryFleet::EntryVmEntry> entries;
    for (const auto& item : list.items) {
        const auto entry = environment().codec.decodeEntryVm(item);
        if (entry)
            entries.push_back(*entry);
        else
            recordDecodeError(item, entry.error());
    }
    return entries;
}

auto EntryVmListener::replaceAll(const Ports::CollectionList& list) -> void { m_fleet.replaceAll(decode(list)); }

auto EntryVmListener::mergeReturned(const Ports::CollectionList& list) -> void { m_fleet.mergeReturned(decode(list)); }

auto EntryVmListener::upsert(const Ports::CollectionItem& item) -> void
{
    const auto entry = environment().codec.decodeEntryVm(item);
    if (entry)
        m_fleet.upsert(*entry);
    else
        recordDecodeError(item, entry.error());
}

auto EntryVmListener::remove(const std::string& name) -> void { m_fleet.remove(Core::EntryVmId(name)); }

auto EntryVmListener::commit() -> void { m_changed(); }

} // namespace ForwardingHost
