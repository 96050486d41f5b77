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

/// Paths of the executables that a fleet runs.
struct ProgramPaths {
    std::string dragonflywinch;
    std::string standIns;
};

struct FailureDomainSpec {
    Core::FailureDomainId id;
    Core::RegionId region;
    int entryVmCount = 1;
};

struct ServiceSpec {
    Core::ServiceId service;
    Core::Rank rank = Core::Rank::Normal;
    bool isIdempotent = true;
    int upstreamsPerFailureDomain = 1;
    int slots = 3;
    int serviceMs = 20;
    /// Bookings start only after a backup has acknowledged them.
    bool needsBackup = true;
};

struct FleetSpec {
    std::vector<FailureDomainSpec> failureDomains;
    std::vector<ServiceSpec> services;
    /// Additional flags for the serve command of each entry VM.
    std::vector<std::string> serveFlags;
};

/// Returns a fleet of three failure domains in two regions, with the three services of Peachtree's rental desks.
auto smallPeachtreeSpec() -> FleetSpec;

/// Runs a complete system as separate processes on loopback: the platform, the upstreams and the entry VMs. The
/// destructor kills them.
class LocalFleet {
public:
    LocalFleet(ProgramPaths programPaths, FleetSpec spec);
    ~LocalFleet();

    [[nodiscard]] auto platformAddress() const -> Core::Address { return m_platformAddress; }
    [[nodiscard]] auto entryVmIds() const -> std::vector<Core::EntryVmId>;
    [[nodiscard]] auto upstreamIds() const -> std::vector<Core::UpstreamId>;
    [[nodiscard]] auto addressOf(const Core::EntryVmId& vm) const -> Core::Address;
    [[nodiscard]] auto addressOf(const Core::UpstreamId& upstream) const -> Core::Address;
    [[nodiscard]] auto addresses() const -> std::vector<Core::Address>;
    auto process(const Core::EntryVmId& vm) -> ChildProcess&;
    auto process(const Core::UpstreamId& upstream) -> ChildProcess&;

    /// Waits until every entry VM has loaded the list of VMs and the steering document.
    auto waitUntilConfigured() -> void;
    /// Starts a new process for the entry VM at its previous addresses.
    auto restart(const Core::EntryVmId& vm) -> void;
    /// Marks the upstream as leaving in the platform's list of VMs.
    auto markLeaving(const Core::UpstreamId& upstream) -> void;
    /// Configures the faults of a stand-in through its admin endpoint.
    auto setFaults(const Core::Address& standIn, const nlohmann::json& faults) -> void;
    /// Returns the number of runs by idempotency key or request id, summed over all upstreams.
    auto runCounts() -> std::map<std::string, std::uint64_t>;

private:
    struct RunningEntryVm {
        FailureDomainSpec failureDomain;
        std::unique_ptr<ChildProcess> process;
        Core::Address address;
        Core::Address peerAddress;
    };
    struct RunningUpstream {
        FailureDomainSpec failureDomain;
        ServiceSpec service;
        std::unique_ptr<ChildProcess> process;
        Core::Address address;
        bool isLeaving = false;
    };

    auto startUpstreams(const FailureDomainSpec& failureDomain) -> void;
    auto startEntryVm(const Core::EntryVmId& id, RunningEntryVm& vm) -> void;
    auto publishDocument() -> void;
    auto publishFleetList() -> void;
    auto writeObject(const std::string& name, std::uint64_t expectedVersion, const nlohmann::json& value) -> void;

    ProgramPaths m_programPaths;
    FleetSpec m_spec;
    std::unique_ptr<ChildProcess> m_platform;
    Core::Address m_platformAddress;
    std::map<Core::EntryVmId, RunningEntryVm> m_entryVms;
    std::map<Core::UpstreamId, RunningUpstream> m_upstreams;
    std::uint64_t m_fleetListVersion = 0;
};

} // namespace StandIns
