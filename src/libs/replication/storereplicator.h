#pragma once

#include "membership/gossipmember.h"
#include "replication/configurationstatus.h"
#include "replication/objectreplica.h"

#include <functional>
#include <map>

namespace Replication {

/// Replicates the steering document and the fleet list. A few members of each failure domain watch the store; the
/// others receive the numbers of newer versions by gossip and fetch the objects from the peer that announced them.
class StoreReplicator : public Membership::VersionExchange,
                        public ReplicaServer,
                        public ReplicaCoordinator,
                        public StatusSource {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::ObjectStore& store;
        Ports::EventSink& events;
        ReplicaPort& port;
        ReplicaSink& documentSink;
        ReplicaSink& fleetSink;
        const Fleet::FleetSource& fleet;
    };
    struct Identity {
        Core::EntryVmId vm;
        Core::FailureDomainId failureDomain;
        std::vector<Core::Address> seeds;
    };

    StoreReplicator(Dependencies dependencies, Identity identity, ReplicaTiming timing = {});

    /// Sets the gossip member that carries the versions; must be called before start().
    auto attach(std::shared_ptr<Membership::GossipMember> gossip) -> void;
    auto start() -> void;
    auto stop() -> void;

    [[nodiscard]] auto localVersions() const -> Membership::LocalVersions override;
    [[nodiscard]] auto domainReports() const -> std::vector<Membership::DomainReport> override;
    auto onGossip(const Membership::Gossip& gossip) -> void override;
    [[nodiscard]] auto answerFetch(ReplicatedObject object, Core::Version newerThan) const -> FetchAnswer override;
    [[nodiscard]] auto watchRole(ReplicatedObject object) const -> WatchRole override;
    [[nodiscard]] auto startupPeers() const -> std::set<Core::Address> override;
    auto onAdopted(ReplicatedObject object) -> void override;
    [[nodiscard]] auto configurationStatus() const -> ConfigurationStatus override;
    [[nodiscard]] auto documentInForce() const -> Ports::StoredObject override;

private:
    struct ReceivedReport {
        Core::Version lowest;
        Core::Version highest;
        std::optional<Core::Instant> confirmedAt;
        Core::Instant reportedAt;
    };

    [[nodiscard]] auto replica(ReplicatedObject object) const -> ObjectReplica&;
    [[nodiscard]] auto localReport() const -> Membership::DomainReport;
    auto storeReport(const Membership::DomainReport& report, Core::Instant now) -> void;

    Dependencies m_dependencies;
    const Identity m_identity;
    std::shared_ptr<ObjectReplica> m_document;
    std::shared_ptr<ObjectReplica> m_fleetList;
    std::shared_ptr<Membership::GossipMember> m_gossip;
    mutable std::mutex m_mutex;
    std::map<Core::FailureDomainId, ReceivedReport> m_reports;
};

} // namespace Replication
