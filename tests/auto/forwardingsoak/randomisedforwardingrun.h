#pragma once

#include "fakes/forwarding/forwardingsite.h"

/// Sends random requests to the entry VMs of a simulated site and injects random faults, in virtual time.
class RandomisedForwardingRun {
public:
    explicit RandomisedForwardingRun(std::uint64_t seed, std::size_t vmCount = Fakes::ForwardingSite::defaultSize);

    /// Runs for the given virtual time, or until a violation is found.
    auto run(Core::Duration duration) -> void;
    /// Clears all faults, waits for recovery, and returns the share of new requests that upstreams answer afterwards.
    auto servedShareAfterRecovery() -> double;
    [[nodiscard]] auto site() const -> const Fakes::ForwardingSite& { return m_site; }

private:
    using OpenRequests = std::vector<std::shared_ptr<Forwarding::OpenRequest>>;

    auto step() -> void;
    auto sendRequest() -> void;
    auto abandonRequest() -> void;
    auto configure() -> void;
    auto evacuate() -> void;
    auto changeVmState() -> void;
    auto crashVm(std::size_t index) -> void;
    auto changeNetworkFaults() -> void;
    auto injectStoreFault() -> void;
    auto stopUpstream() -> void;
    auto changeUpstreamFaults() -> void;
    auto drain(const Core::UpstreamId& id, bool isAnnounced) -> void;
    auto crash(const Core::UpstreamId& id) -> void;
    auto listOnceStoreIsReachable(const Core::UpstreamId& id) -> void;
    auto restart(const Forwarding::UpstreamEntry& ended) -> void;
    /// Unlists some live upstreams for the duration of a store outage, and lists them again after it.
    auto expireEntries(Core::Duration outageTime) -> void;
    auto clearStoreFault() -> void;
    /// Lets the store go away after a while and return from a copy of now.
    auto beginDrill() -> void;
    auto endDrill() -> void;
    /// Lets the operator and the upstreams write again what the store has lost.
    auto writeAgain(const Fakes::VirtualCollections::ItemName& item) -> void;
    auto writeUpstreamAgain(const Core::UpstreamId& id) -> void;
    /// Runs the task once the store can be written to.
    auto onceStoreIsReachable(Ports::Scheduler::Task task) -> void;
    auto addUpstream(const Core::Address& address) -> void;
    [[nodiscard]] auto makeEntry(const Core::UpstreamId& id, const Core::Address& address) -> Forwarding::UpstreamEntry;
    [[nodiscard]] auto randomUpstream() -> std::optional<Core::UpstreamId>;
    [[nodiscard]] auto randomVm() -> std::size_t { return m_site.world.below(m_open.size()); }
    [[nodiscard]] auto isStoreHealthy() const -> bool;
    auto schedule(Core::Duration delay, Ports::Scheduler::Task task) -> void;

    Fakes::ForwardingSite m_site;
    /// Requests of each VM's current process: all that have no reply yet, and some that have one.
    std::vector<OpenRequests> m_open;
    std::set<Core::UpstreamId> m_upstreams;
    /// Upstreams that are draining, or that crashed and have not restarted yet.
    std::set<Core::UpstreamId> m_leaving;
    /// Those of the draining upstreams that announced it.
    std::set<Core::UpstreamId> m_announced;
    std::set<Core::FailureDomainId> m_evacuated;
    double m_sendRate = 0.8;
    std::uint64_t m_nextRequest = 0;
    std::uint64_t m_nextUpstream = 0;
    std::uint64_t m_version = 0;
    std::int64_t m_nextStart = 1;
    bool m_hasStoreFault = false;
    /// A copy has been kept, and the store has not returned from it yet.
    bool m_hasDrill = false;
    bool m_isRecovering = false;
};
