#pragma once

#include "fakes/virtualworld.h"
#include "membership/gossipmember.h"
#include "membershippeer/gossippeer.h"

#include <memory>

/// Entry VMs that gossip over the real codec in virtual time.
class GossipCluster {
public:
    struct Place {
        std::string vm;
        std::string failureDomain;
        /// Same as the name when empty.
        std::string address = {};
    };

    explicit GossipCluster(std::uint64_t seed)
        : world(seed)
    {
    }

    static auto addressOf(const Place& place) -> Core::Address
    {
        return Core::Address(place.address.empty() ? place.vm : place.address);
    }
    static auto vmAt(const Place& place) -> Fleet::EntryVm
    {
        return { Core::EntryVmId(place.vm), Core::FailureDomainId(place.failureDomain), Core::RegionId("atl"),
            Core::Address("10.0.0.1:80"), addressOf(place) };
    }

    /// Starts a process under the name; a second call under the same name is a restart.
    auto start(const Place& place, std::vector<Core::Address> seeds = {}) -> void
    {
        stop(place.vm);
        nodes[place.vm] = std::make_unique<Node>(*this, place, std::move(seeds));
        nodes[place.vm]->member->start();
    }
    auto stop(const std::string& vm) -> void
    {
        world.crash(Core::Address(vm));
        nodes.erase(vm);
    }
    auto list(const std::vector<Place>& places) -> void
    {
        Fleet::FleetList fleetList { Core::Version(fleet.current()->version.value() + 1), {}, {} };
        for (const auto& place : places)
            fleetList.entryVms.push_back(vmAt(place));
        fleet.offer(std::move(fleetList));
    }
    auto startAll(const std::vector<Place>& places) -> void
    {
        list(places);
        for (const auto& place : places)
            start(place);
    }
    /// How the observer sees the other; empty when it does not know it.
    auto seen(const std::string& observer, const std::string& other) const -> std::optional<Membership::Member>
    {
        return nodes.at(observer)->member->find(Core::EntryVmId(other));
    }
    auto isAlive(const std::string& observer, const std::string& other) const -> bool
    {
        const auto member = seen(observer, other);
        return member && member->health == Membership::MemberHealth::Alive;
    }
    auto everybodySeesEverybody() const -> bool
    {
        for (const auto& [observer, unused] : nodes) {
            for (const auto& [other, unusedToo] : nodes) {
                if (!isAlive(observer, other))
                    return false;
            }
        }
        return true;
    }

    struct Node : Membership::OwnStateSource, Membership::VersionExchange, Ports::EventSink, Ports::RandomSource {
        Node(GossipCluster& cluster, const Place& place, std::vector<Core::Address> seeds)
            : world(cluster.world)
            , ports(cluster.world, addressOf(place))
            , peer(ports)
            , prefix(place.vm + ":prefix")
            , member(std::make_shared<Membership::GossipMember>(Membership::GossipMember::Collaborators { world, ports,
                                                                    *this, *this, peer, cluster.fleet, *this, *this },
                  Membership::GossipMember::Identity { vmAt(place), { next(), next() }, std::move(seeds) }))
        {
            MembershipPeer::registerGossipHandlers(ports, *member);
        }

        [[nodiscard]] auto keyPrefix() const -> std::string override { return prefix; }
        [[nodiscard]] auto loads() const -> std::vector<Fleet::ServiceLoad> override { return {}; }
        [[nodiscard]] auto heldVersions() const -> Membership::HeldVersions override { return {}; }
        [[nodiscard]] auto domainReports() const -> std::vector<Membership::DomainReport> override { return {}; }
        auto seen(const Membership::Gossip&) -> void override { }
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
