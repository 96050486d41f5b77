#pragma once

#include "configuration/configurationholder.h"
#include "fakes/virtualstore.h"
#include "jsoncodec/jsoncodec.h"
#include "membershippeer/gossippeer.h"
#include "spread/versionspreader.h"
#include "spreadpeer/replicapeer.h"

/// Entry VMs that spread the steering document and the fleet list in virtual time, over the real codecs.
class SpreadCluster {
public:
    struct Place {
        std::string vm;
        std::string failureDomain;
    };

    explicit SpreadCluster(std::uint64_t seed)
        : world(seed)
    {
    }

    static auto addressOf(const std::string& vm) -> Core::Address { return Core::Address(vm); }
    static auto documentWithWorth(double worth) -> std::string
    {
        return R"({"sections": {"desk": {"services": {"stock": {"rank": "urgent", "worth": )" + std::to_string(worth)
            + "}}}}}";
    }

    auto putFleetList(const std::vector<Place>& places) -> void
    {
        std::string text;
        for (const auto& place : places) {
            text += (text.empty() ? "" : ",") + std::string(R"({"id": ")") + place.vm + R"(", "failureDomain": ")"
                + place.failureDomain + R"(", "region": "atl", "address": "10.0.0.1:80", "peerAddress": ")" + place.vm
                + "\"}";
        }
        store.put("fleet/list", R"({"upstreams": [], "entryVms": [)" + text + "]}");
    }
    auto putDocument(std::string text) -> Core::Version { return store.put("steering/document", std::move(text)); }

    /// Starts a process under the name; a second call under the same name is a restart.
    auto start(const Place& place, std::vector<Core::Address> seeds = {}) -> void
    {
        stop(place.vm);
        nodes[place.vm] = std::make_unique<Node>(*this, place, std::move(seeds));
        nodes[place.vm]->gossip->start();
        nodes[place.vm]->spreader.start();
    }
    auto stop(const std::string& vm) -> void
    {
        world.crash(addressOf(vm));
        nodes.erase(vm);
    }
    auto startAll(const std::vector<Place>& places) -> void
    {
        putFleetList(places);
        for (const auto& place : places)
            start(place);
    }
    auto versionAt(const std::string& vm) const -> std::uint64_t
    {
        return nodes.at(vm)->configuration.current()->version.value();
    }
    auto everybodyHas(Core::Version version) const -> bool
    {
        return std::all_of(nodes.begin(), nodes.end(),
            [&](const auto& node) { return node.second->configuration.current()->version == version; });
    }
    auto statusOf(const std::string& observer, const std::string& domain) const -> Spread::DomainStatus
    {
        for (const auto assessed = nodes.at(observer)->spreader.configurationStatus();
             const auto& status : assessed.domains) {
            if (status.failureDomain.value() == domain)
                return status;
        }
        return {};
    }

    struct Node : Membership::OwnStateSource, Ports::EventSink, Ports::RandomSource {
        struct DocumentSink : Spread::ReplicaSink {
            explicit DocumentSink(Configuration::ConfigurationHolder& holder)
                : holder(holder)
            {
            }
            auto take(const Ports::StoredObject& object) -> Core::Result<void> override
            {
                auto configuration = JsonCodec::parseSteeringDocument(object.text, object.version);
                if (!configuration)
                    return tl::unexpected(configuration.error());
                holder.offer(std::move(*configuration));
                return {};
            }
            Configuration::ConfigurationHolder& holder;
        };
        struct FleetSink : Spread::ReplicaSink {
            explicit FleetSink(Fleet::FleetHolder& holder)
                : holder(holder)
            {
            }
            auto take(const Ports::StoredObject& object) -> Core::Result<void> override
            {
                auto list = JsonCodec::parseFleetList(object.text, object.version);
                if (!list)
                    return tl::unexpected(list.error());
                holder.offer(std::move(*list));
                return {};
            }
            Fleet::FleetHolder& holder;
        };

        Node(SpreadCluster& cluster, const Place& place, const std::vector<Core::Address>& seeds)
            : world(cluster.world)
            , ports(cluster.world, addressOf(place.vm))
            , store(cluster.store, addressOf(place.vm))
            , spreader({ world, ports, store, *this, replicaPeer, documentSink, fleetSink, fleet },
                  { Core::EntryVmId(place.vm), Core::FailureDomainId(place.failureDomain), seeds })
            , gossip(std::make_shared<Membership::GossipMember>(Membership::GossipMember::Collaborators { world, ports,
                                                                    *this, *this, gossipPeer, fleet, *this, spreader },
                  Membership::GossipMember::Identity {
                      { Core::EntryVmId(place.vm), Core::FailureDomainId(place.failureDomain), Core::RegionId("atl"),
                          Core::Address("10.0.0.1:80"), addressOf(place.vm) },
                      { next(), next() }, seeds }))
        {
            spreader.attach(gossip);
            MembershipPeer::registerGossipHandlers(ports, *gossip);
            SpreadPeer::registerReplicaHandlers(ports, spreader);
        }

        [[nodiscard]] auto keyPrefix() const -> std::string override { return "prefix"; }
        [[nodiscard]] auto loads() const -> std::vector<Fleet::ServiceLoad> override { return {}; }
        auto record(Ports::Event event) -> void override { events.push_back(std::move(event)); }
        auto next() -> std::uint64_t override { return world.below(std::numeric_limits<std::size_t>::max()); }

        Fakes::VirtualWorld& world;
        Fakes::VirtualNode ports;
        Fakes::StoreClient store;
        MembershipPeer::GossipPeer gossipPeer { ports };
        SpreadPeer::ReplicaPeer replicaPeer { ports };
        Configuration::ConfigurationHolder configuration;
        Fleet::FleetHolder fleet;
        DocumentSink documentSink { configuration };
        FleetSink fleetSink { fleet };
        std::vector<Ports::Event> events;
        Spread::VersionSpreader spreader;
        std::shared_ptr<Membership::GossipMember> gossip;
    };

    Fakes::VirtualWorld world;
    Fakes::VirtualStore store { world };
    std::map<std::string, std::unique_ptr<Node>> nodes;
};
