#pragma once

#include "configuration/configurationholder.h"
#include "fakes/virtualstore.h"
#include "jsoncodec/jsoncodec.h"
#include "membershippeer/gossippeer.h"
#include "replication/storereplicator.h"
#include "replicationpeer/replicapeer.h"

/// Cluster of entry VMs that replicate the steering document and the fleet list in virtual time, with the real codecs.
class ReplicationCluster {
public:
    struct NodeSpec {
        std::string vm;
        std::string failureDomain;
    };

    explicit ReplicationCluster(std::uint64_t seed)
        : world(seed)
    {
    }

    static auto addressOf(const std::string& vm) -> Core::Address { return Core::Address(vm); }
    static auto documentWithWorth(double worth) -> std::string
    {
        return R"({"sections": {"desk": {"services": {"stock": {"rank": "urgent", "worth": )" + std::to_string(worth)
            + "}}}}}";
    }

    auto putFleetList(const std::vector<NodeSpec>& nodeSpecs) -> void
    {
        std::string text;
        for (const auto& nodeSpec : nodeSpecs) {
            text += (text.empty() ? "" : ",") + std::string(R"({"id": ")") + nodeSpec.vm + R"(", "failureDomain": ")"
                + nodeSpec.failureDomain + R"(", "region": "atl", "address": "10.0.0.1:80", "peerAddress": ")"
                + nodeSpec.vm + "\"}";
        }
        store.put("fleet/list", R"({"upstreams": [], "entryVms": [)" + text + "]}");
    }
    auto putDocument(std::string text) -> Core::Version { return store.put("steering/document", std::move(text)); }

    /// Starts the process of an entry VM; a second call for the same VM restarts it.
    auto start(const NodeSpec& nodeSpec, std::vector<Core::Address> seeds = {}) -> void
    {
        stop(nodeSpec.vm);
        nodes[nodeSpec.vm] = std::make_unique<Node>(*this, nodeSpec, std::move(seeds));
        nodes[nodeSpec.vm]->gossip->start();
        nodes[nodeSpec.vm]->replicator.start();
    }
    auto stop(const std::string& vm) -> void
    {
        world.crash(addressOf(vm));
        nodes.erase(vm);
    }
    auto startAll(const std::vector<NodeSpec>& nodeSpecs) -> void
    {
        putFleetList(nodeSpecs);
        for (const auto& nodeSpec : nodeSpecs)
            start(nodeSpec);
    }
    auto versionAt(const std::string& vm) const -> std::uint64_t
    {
        return nodes.at(vm)->configuration.current()->version.value();
    }
    auto allHaveVersion(Core::Version version) const -> bool
    {
        return std::all_of(nodes.begin(), nodes.end(),
            [&](const auto& node) { return node.second->configuration.current()->version == version; });
    }
    auto statusOf(const std::string& observer, const std::string& domain) const -> Replication::DomainStatus
    {
        for (const auto assessed = nodes.at(observer)->replicator.configurationStatus();
             const auto& status : assessed.domains) {
            if (status.failureDomain.value() == domain)
                return status;
        }
        return {};
    }

    struct Node : Membership::LocalStateSource, Ports::EventSink, Ports::RandomSource {
        struct DocumentSink : Replication::ReplicaSink {
            explicit DocumentSink(Configuration::ConfigurationHolder& holder)
                : holder(holder)
            {
            }
            auto apply(const Ports::StoredObject& object) -> Core::Result<void> override
            {
                auto configuration = JsonCodec::parseSteeringDocument(object.text, object.version);
                if (!configuration)
                    return tl::unexpected(configuration.error());
                holder.offer(std::move(*configuration));
                return {};
            }
            Configuration::ConfigurationHolder& holder;
        };
        struct FleetSink : Replication::ReplicaSink {
            explicit FleetSink(Fleet::FleetHolder& holder)
                : holder(holder)
            {
            }
            auto apply(const Ports::StoredObject& object) -> Core::Result<void> override
            {
                auto list = JsonCodec::parseFleetList(object.text, object.version);
                if (!list)
                    return tl::unexpected(list.error());
                holder.offer(std::move(*list));
                return {};
            }
            Fleet::FleetHolder& holder;
        };

        Node(ReplicationCluster& cluster, const NodeSpec& nodeSpec, const std::vector<Core::Address>& seeds)
            : world(cluster.world)
            , ports(cluster.world, addressOf(nodeSpec.vm))
            , store(cluster.store, addressOf(nodeSpec.vm))
            , replicator({ world, ports, store, *this, replicaPeer, documentSink, fleetSink, fleet },
                  { Core::EntryVmId(nodeSpec.vm), Core::FailureDomainId(nodeSpec.failureDomain), seeds })
            , gossip(
                  std::make_shared<Membership::GossipMember>(Membership::GossipMember::Dependencies { world, ports,
                                                                 *this, *this, gossipPeer, fleet, *this, replicator },
                      Membership::GossipMember::Identity {
                          { Core::EntryVmId(nodeSpec.vm), Core::FailureDomainId(nodeSpec.failureDomain),
                              Core::RegionId("atl"), Core::Address("10.0.0.1:80"), addressOf(nodeSpec.vm) },
                          { next(), next() }, seeds }))
        {
            replicator.attach(gossip);
            MembershipPeer::registerGossipHandlers(ports, *gossip);
            ReplicationPeer::registerReplicaHandlers(ports, replicator);
        }

        [[nodiscard]] auto keyPrefix() const -> std::string override { return "prefix"; }
        [[nodiscard]] auto loads() const -> std::vector<Fleet::ServiceLoad> override { return {}; }
        auto record(Ports::Event event) -> void override { events.push_back(std::move(event)); }
        auto next() -> std::uint64_t override { return world.below(std::numeric_limits<std::size_t>::max()); }

        Fakes::VirtualWorld& world;
        Fakes::VirtualNode ports;
        Fakes::StoreClient store;
        MembershipPeer::GossipPeer gossipPeer { ports };
        ReplicationPeer::ReplicaPeer replicaPeer { ports };
        Configuration::ConfigurationHolder configuration;
        Fleet::FleetHolder fleet;
        DocumentSink documentSink { configuration };
        FleetSink fleetSink { fleet };
        std::vector<Ports::Event> events;
        Replication::StoreReplicator replicator;
        std::shared_ptr<Membership::GossipMember> gossip;
    };

    Fakes::VirtualWorld world;
    Fakes::VirtualStore store { world };
    std::map<std::string, std::unique_ptr<Node>> nodes;
};
