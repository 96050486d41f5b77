#pragma once

#include "core/ids.h"
#include "core/rank.h"
#include "standins/childprocess.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace StandIns {

/// Paths of the programs under test.
struct Programs {
    std::string dragonflywinch;
    std::string standIns;
};

struct FailureDomainShape {
    Core::FailureDomainId id;
    Core::RegionId region;
    int entryVmCount = 1;
};

struct ServiceShape {
    Core::ServiceId service;
    Core::Rank rank = Core::Rank::Normal;
    bool isIdempotent = true;
    int upstreamsPerFailureDomain = 1;
    int slots = 3;
    int serviceMs = 20;
    /// Bookings wait for a backup's acknowledgement.
    bool needsBackup = true;
};

struct FleetShape {
    std::vector<FailureDomainShape> failureDomains;
    std::vector<ServiceShape> services;
    /// Further flags of each entry VM's serve command.
    std::vector<std::string> serveFlags;
};

/// Two regions with three failure domains and the three services of Peachtree's rental desks.
auto smallPeachtree() -> FleetShape;

/// A whole system as separate processes on loopback: platform, upstreams and entry VMs. Ends them when destroyed.
class SmallFleet {
public:
    SmallFleet(Programs programs, FleetShape shape);
    ~SmallFleet();

    [[nodiscard]] auto platformAddress() const -> Core::Address { return m_platformAddress; }
    [[nodiscard]] auto entryVmIds() const -> std::vector<Core::EntryVmId>;
    [[nodiscard]] auto upstreamIds() const -> std::vector<Core::UpstreamId>;
    [[nodiscard]] auto addressOf(const Core::EntryVmId& vm) const -> Core::Address;
    [[nodiscard]] auto addressOf(const Core::UpstreamId& upstream) const -> Core::Address;
    [[nodiscard]] auto addresses() const -> std::vector<Core::Address>;
    auto process(const Core::EntryVmId& vm) -> ChildProcess&;
    auto process(const Core::UpstreamId& upstream) -> ChildProcess&;

    /// Waits until every entry VM has taken the list of VMs and the steering document.
    auto waitUntilConfigured() -> void;
    /// Starts the entry VM's process again at its old addresses.
    auto restart(const Core::EntryVmId& vm) -> void;
    /// Marks the upstream in the platform's list of VMs.
    auto announceLeaving(const Core::UpstreamId& upstream) -> void;
    /// Sets faults through the stand-in's admin path.
    auto setFaults(const Core::Address& standIn, const nlohmann::json& faults) -> void;
    /// Runs by idempotency key or request id, added up over all upstreams.
    auto book() -> std::map<std::string, std::uint64_t>;

private:
    struct RunningEntryVm {
        FailureDomainShape failureDomain;
        std::unique_ptr<ChildProcess> process;
        Core::Address address;
        Core::Address peerAddress;
    };
    struct RunningUpstream {
        FailureDomainShape failureDomain;
        ServiceShape service;
        std::unique_ptr<ChildProcess> process;
        Core::Address address;
        bool isLeaving = false;
    };

    auto startUpstreams(const FailureDomainShape& failureDomain) -> void;
    auto startEntryVm(const Core::EntryVmId& id, RunningEntryVm& vm) -> void;
    auto publishDocument() -> void;
    auto publishFleetList() -> void;
    auto put(const std::string& name, std::uint64_t expected, const nlohmann::json& value) -> void;

    Programs m_programs;
    FleetShape m_shape;
    std::unique_ptr<ChildProcess> m_platform;
    Core::Address m_platformAddress;
    std::map<Core::EntryVmId, RunningEntryVm> m_entryVms;
    std::map<Core::UpstreamId, RunningUpstream> m_upstreams;
    std::uint64_t m_fleetListVersion = 0;
};

} // namespace StandIns
