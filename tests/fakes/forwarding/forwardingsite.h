#pragma once

#include "fakes/forwarding/inmemorycodec.h"
#include "fakes/forwarding/virtualcollections.h"
#include "fakes/forwarding/virtualupstreams.h"
#include "forwardinghost/entryvm.h"

namespace Fakes {

/// Simulated site in virtual time: entry VMs in two regions that run the real forwarding code, their store and
/// upstreams.
class ForwardingSite {
public:
    static constexpr std::size_t defaultSize = 5;
    /// A VM counts as stable after this time without a disturbance of the VM or the store.
    static constexpr Core::Millis stabilityTime { 3000 };
    /// Time within which all state is up to date again after the store has returned from an older copy.
    static constexpr Core::Millis recoveryTime { 15'000 };

    explicit ForwardingSite(std::uint64_t seed, std::size_t vmCount = defaultSize);
    ~ForwardingSite();

    /// Returns the address of the VM.
    static auto nodeOf(std::size_t index) -> NodeId;
    auto startVm(std::size_t index) -> void;
    auto crashVm(std::size_t index) -> void;
    auto pauseVm(std::size_t index) -> void;
    auto resumeVm(std::size_t index) -> void;
    [[nodiscard]] auto isRunning(std::size_t index) const -> bool;
    /// Returns null while the process of the VM is not running.
    auto vm(std::size_t index) -> ForwardingHost::EntryVm*;

    auto denyStoreAccess(std::size_t index) -> void;
    auto setStoreFaults(CollectionFaults faults) -> void;
    /// Removes all store faults and lets all VMs reach the store.
    auto healStore() -> void;
    auto dropHistory() -> void;
    /// Keeps the copy from which the store returns later.
    auto keepStoreCopy() -> void;
    /// Makes the store unreachable, before it returns from its copy. What stable VMs know by now binds them from then
    /// on.
    auto takeStoreAway(bool forgetsWatches) -> void;
    /// Lets the store go back to the copy. Returns what was written or removed since.
    auto returnStoreToCopy() -> std::vector<VirtualCollections::ItemName>;

    auto configure(std::shared_ptr<Forwarding::RoutingConfiguration> configuration) -> void;
    /// Writes the last configuration again, after the store has lost it.
    auto configureAgain() -> void;
    /// Creates the upstream and lists it in the store.
    auto addUpstream(const Forwarding::UpstreamEntry& entry, Core::Duration coldTime) -> void;
    auto listUpstream(const Core::UpstreamId& id, bool isDraining) -> void;
    /// Removes the entry of the upstream from the store; the upstream itself may keep running.
    auto unlistUpstream(const Core::UpstreamId& id) -> void;
    auto setEvacuated(const Core::FailureDomainId& domain, bool isEvacuated) -> void;
    /// Writes again whether the domain is evacuated, after the store has lost it.
    auto setEvacuatedAgain(const Core::FailureDomainId& domain) -> void;

    /// `hasQuota` is true if the request counts against the quota that the tracker checks.
    auto send(std::size_t index, Forwarding::ForwardRequest request, bool isIdempotent, bool hasQuota = false)
        -> std::shared_ptr<Forwarding::OpenRequest>;
    [[nodiscard]] auto isStable(const NodeId& vm) const -> bool;
    /// Records a violation if the configuration of a VM went back to an older version, or is outdated on a stable VM.
    auto checkConfigurations() -> void;
    /// Records a violation if a stable VM does not have the last evacuations, although recovery has had its time.
    auto checkEvacuations() -> void;

    /// Appends a line to the log of the run.
    auto logLine(const std::string& line) -> void;
    [[nodiscard]] auto runLog() const -> const std::vector<std::string>& { return m_runLog; }

    VirtualWorld world;
    RequestTracker requestTracker;
    VirtualCollections store { world };
    InMemoryCodec codec;
    VirtualUpstreams virtualUpstreams;
    std::size_t answers = 0;
    std::size_t refusals = 0;

private:
    class RunLogSink;
    struct Process;

    static auto settingsOf(std::size_t index) -> ForwardingHost::EntryVmSettings;
    auto recordDisturbance(std::size_t index) -> void;
    auto recordGlobalDisturbance() -> void;
    auto recordReply(const Core::RequestId& id, const Forwarding::ForwardReply& reply) -> void;

    std::vector<std::unique_ptr<Process>> m_processes;
    std::vector<std::string> m_runLog;
    std::map<NodeId, Core::Instant> m_disturbedAt;
    std::vector<Core::Version> m_versions;
    std::shared_ptr<const Forwarding::RoutingConfiguration> m_configuration;
    Core::Instant m_configuredAt;
    /// Version that the store has, and that it goes back to with the copy.
    Core::Version m_storedVersion;
    Core::Version m_copiedVersion;
    Forwarding::EvacuatedDomains m_evacuated;
    /// Last change of the evacuations, or last return of the store.
    Core::Instant m_evacuationsChangedAt;
};

} // namespace Fakes
