#include "replication/storereplicator.h"

#include "fleet/rendezvous.h"
#include "replication/statusassessment.h"

#include <algorithm>

namespace Replication {

namespace {

    /// Number of members of a failure domain that watch the store for one object.
    constexpr std::size_t watchersPerDomain = 2;

    auto instantBefore(Core::Instant now, Core::Duration age) -> std::optional<Core::Instant>
    {
        if (age == Core::Duration::max())
            return std::nullopt;
        return now - std::max(age, Core::Duration(0));
    }

    auto ageOf(const std::optional<Core::Instant>& instant, Core::Instant now) -> Core::Duration
    {
        return instant ? now - *instant : Core::Duration::max();
    }

} // namespace

StoreReplicator::StoreReplicator(Dependencies dependencies, Identity identity, ReplicaTiming timing)
    : m_dependencies(dependencies)
    , m_identity(std::move(identity))
    , m_document(std::make_shared<ObjectReplica>(
          ObjectReplica::Dependencies { dependencies.clock, dependencies.scheduler, dependencies.store,
              dependencies.events, dependencies.port, dependencies.documentSink, *this },
          ReplicatedObject::SteeringDocument, timing))
    , m_fleetList(std::make_shared<ObjectReplica>(
          ObjectReplica::Dependencies { dependencies.clock, dependencies.scheduler, dependencies.store,
              dependencies.events, dependencies.port, dependencies.fleetSink, *this },
          ReplicatedObject::FleetList, timing))
{
}

auto StoreReplicator::attach(std::shared_ptr<Membership::GossipMember> gossip) -> void { m_gossip = std::move(gossip); }

auto StoreReplicator::start() -> void
{
    m_fleetList->start();
    m_document->start();
}

auto StoreReplicator::stop() -> void
{
    m_fleetList->stop();
    m_document->stop();
}

auto StoreReplicator::replica(ReplicatedObject object) const -> ObjectReplica&
{
    return object == ReplicatedObject::SteeringDocument ? *m_document : *m_fleetList;
}

auto StoreReplicator::localVersions() const -> Membership::LocalVersions
{
    const auto document = m_document->status();
    return { document.version, document.digest, m_fleetList->status().version,
        ageOf(document.confirmedAt, m_dependencies.clock.now()), document.refused.version, document.refused.reason };
}

auto StoreReplicator::localReport() const -> Membership::DomainReport
{
    const auto document = m_document->status();
    Membership::DomainReport report { m_identity.failureDomain, document.version, document.version,
        ageOf(document.confirmedAt, m_dependencies.clock.now()), Core::Duration(0) };
    for (const auto& member : m_gossip->members()) {
        if (member.vm.failureDomain != m_identity.failureDomain || member.vm.id == m_identity.vm
            || member.health == Membership::MemberHealth::Suspected)
            continue;
        report.lowest = std::min(report.lowest, member.configurationVersion);
        report.highest = std::max(report.highest, member.configurationVersion);
    }
    return report;
}

auto StoreReplicator::domainReports() const -> std::vector<Membership::DomainReport>
{
    std::vector<Membership::DomainReport> reports { localReport() };
    const auto now = m_dependencies.clock.now();
    const std::lock_guard lock(m_mutex);
    for (const auto& [domain, received] : m_reports)
        reports.push_back(
            { domain, received.lowest, received.highest, ageOf(received.confirmedAt, now), now - received.reportedAt });
    return reports;
}

auto StoreReplicator::onGossip(const Membership::Gossip& gossip) -> void
{
    const auto now = m_dependencies.clock.now();
    const auto& versions = gossip.versions;
    m_document->onPeerVersion(gossip.senderAddress, versions.document);
    m_fleetList->onPeerVersion(gossip.senderAddress, versions.fleet);
    if (gossip.failureDomain == m_identity.failureDomain) {
        if (const auto confirmedAt = instantBefore(now, versions.confirmedAge))
            m_document->onPeerConfirmation(versions.document, *confirmedAt);
        if (versions.refusedVersion.value() != 0)
            m_document->onPeerRefusal(versions.refusedVersion, versions.refusalReason);
    }
    for (const auto& report : gossip.domains)
        storeReport(report, now);
}

auto StoreReplicator::storeReport(const Membership::DomainReport& report, Core::Instant now) -> void
{
    if (report.failureDomain == m_identity.failureDomain)
        return;
    const auto reportedAt = now - std::max(report.reportAge, Core::Duration(0));
    const std::lock_guard lock(m_mutex);
    const auto [entry, isNew] = m_reports.try_emplace(report.failureDomain);
    if (isNew || entry->second.reportedAt < reportedAt)
        entry->second = { report.lowest, report.highest, instantBefore(now, report.confirmedAge), reportedAt };
}

auto StoreReplicator::answerFetch(ReplicatedObject object, Core::Version newerThan) const -> FetchAnswer
{
    return replica(object).answerFetch(newerThan);
}

auto StoreReplicator::watchRole(ReplicatedObject object) const -> WatchRole
{
    std::vector<std::string> alive;
    for (const auto& member : m_gossip->members()) {
        if (member.vm.failureDomain == m_identity.failureDomain && member.health == Membership::MemberHealth::Alive)
            alive.push_back(member.vm.id.value());
    }
    const auto key = m_identity.failureDomain.value() + "/" + objectName(object);
    const auto position = Fleet::rendezvousPosition(key, m_identity.vm.value(), alive);
    if (position == 0)
        return WatchRole::WatchAndRead;
    return position < watchersPerDomain ? WatchRole::Watch : WatchRole::None;
}

auto StoreReplicator::startupPeers() const -> std::set<Core::Address>
{
    std::set<Core::Address> peers(m_identity.seeds.begin(), m_identity.seeds.end());
    auto add = [&](const Fleet::EntryVm& vm) {
        if (vm.id != m_identity.vm)
            peers.insert(vm.peerAddress);
    };
    for (const auto fleet = m_dependencies.fleet.current(); const auto& vm : fleet->entryVms)
        add(vm);
    for (const auto& member : m_gossip->members())
        add(member.vm);
    return peers;
}

auto StoreReplicator::onAdopted(ReplicatedObject) -> void { m_gossip->pushNow(); }

auto StoreReplicator::configurationStatus() const -> ConfigurationStatus
{
    const auto now = m_dependencies.clock.now();
    const auto document = m_document->status();
    ConfigurationStatus status;
    status.vm = m_identity.vm;
    status.failureDomain = m_identity.failureDomain;
    status.version = document.version;
    status.inForceFor = document.version.value() == 0 ? Core::Duration(0) : now - document.adoptedAt;
    status.fleetVersion = m_fleetList->status().version;
    status.refusedVersion = document.refused.version;
    status.refusalReason = document.refused.reason;
    const auto reports = domainReports();
    for (const auto& report : reports)
        status.domains.push_back(assessDomain(report, reports, document.refused));
    return status;
}

auto StoreReplicator::documentInForce() const -> Ports::StoredObject
{
    return m_document->answerFetch(Core::Version(0)).value_or(Ports::StoredObject());
}

} // namespace Replication
