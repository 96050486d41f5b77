#pragma once

#include "fakes/virtualworld.h"
#include "membership/gossipmember.h"
#include "membershippeer/gossippeer.h"

#include <memory>

/// Simulated entry VMs that exchange gossip over the production codec in virtual time.
class GossipCluster {
public:
    struct NodeSpec {
        std::string vm;
        std::string failureDomain;
        /// Defaults to the name if empty.
        std::string address = {};
    };

    explicit GossipCluster(std::uint64_t seed)
        : world(seed)
    {
    }

    static auto addressOf(const NodeSpec& spec) -> Core::Address
    {
        return Core::Address(spec.address.empty() ? spec.vm : spec.address);
    }
    static auto vmOf(const NodeSpec& spec) -> Fleet::EntryVm
    {
        return { Core::EntryVmId(spec.vm), Core::FailureDomainId(spec.failureDomain), Core::RegionId("atl"),
            Core::Address("10.0.0.1:80"), addressOf(spec) };
    }

    /// Starts a process under the given name. A second call with the same name restarts it.
    auto start(const NodeSpec& spec, std::vector<Core::Address> seeds = {}) -> void
    {
        stop(spec.vm);
        nodes[spec.vm] = std::make_unique<Node>(*this, spec, std::move(seeds));
        nodes[spec.vm]->member->start();
    }
    auto stop(const std::string& vm) -> void
    {
        world.crash(Core::Address(vm));
        nodes.erase(vm);
    }
    auto publishFleetList(const std::vector<NodeSpec>& specs) -> void
    {
        Fleet::FleetList fleetList { Core::Version(fleet.current()->version.value() + 1), {}, {} };
        for (const auto& spec : specs)
            fleetList.entryVms.push_back(vmOf(spec));
        fleet.offer(std::move(fleetList));
    }
    auto startAll(const std::vector<NodeSpec>& specs) -> void
    {
        publishFleetList(specs);
        for (const auto& spec : specs)
            start(spec);
    }
    /// Returns the other member as seen by the observer, or an empty value if it is unknown or dead there.
    auto memberSeenBy(const std::string& observer, const std::string& other) const -> std::optional<Membership::Member>
    {
        return nodes.at(observer)->member->find(Core::EntryVmId(other));
    }
    auto isAlive(const std::string& observer, const std::string& other) const -> bool
    {
        const auto member = memberSeenBy(observer, other);
        return member && member->health == Membership::MemberHealth::Alive;
    }
    auto allMembersSeeEachOtherAlive() const -> bool
    {
        for (const auto& [observer, unused] : nodes) {
            for (const auto& [other, unusedToo] : nodes) {
                if (!isAlive(observer, other))
                    return false;
            }
        }
        return true;
    }

    struct Node : Membership::LocalStateSource, Membership::VersionExchange, Ports::EventSink, Ports::RandomSource {
        Node(GossipCluster& cluster, const NodeSpec& spec, std::vector<Core::Address> seeds)
            : world(cluster.world)
            , ports(cluster.world, addressOf(spec))
            , peer(ports)
            , prefix(spec.vm + ":prefix")
            , member(std::make_shared<Membership::GossipMember>(Membership::GossipMember::Dependencies { world, ports,
                                                                    *this, *this, peer, cluster.fleet, *this, *this },
                  Membership::GossipMember::Identity { vmOf(spec), { next(), next() }, std::move(seeds) }))
        {
            MembershipPeer::registerGossipHandlers(ports, *member);
        }

        [[nodiscard]] auto keyPrefix() const -> std::string override { return prefix; }
        [[nodiscard]] auto loads() const -> std::vector<Fleet::ServiceLoad> override { return {}; }
        [[nodiscard]] auto localVersions() const -> Membership::LocalVersions override { return {}; }
        [[nodiscard]] auto domainReports() const -> std::vector<Membership::DomainReport> override { return {}; }
        auto onGossip(const Membership::Gossip&) -> void override { }
        auto record(Ports::Event event) -> void override { events.push_back(event.kind.value()); }
        auto next() -> std::uint64_t override { return world.below(std::numeric_limits<std::size_t>::max()); }

        Fakes::VirtualWorld& world;
        Fakes::VirtualNode ports;
        MembershipPeer::GossipPeer peer;
        std::string prefix;
        std::vector<std::string> events;
        std::shared_ptr<Membership::GossipMember> member;
    };

    Fakes::VirtualWorld world;
    Fleet::FleetHolder fleet;
    std::map<std::string, std::unique_ptr<Node>> nodes;
};
