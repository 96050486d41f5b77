#pragma once

#include "following/peerrefresh.h"
#include "forwardinghost/hostsettings.h"
#include "forwardinghost/listeners.h"
#include "suspicion/suspicionport.h"

namespace ForwardingHost {

/// Contains the decisions and the state of one entry VM, without its input and output: synchronises with the store,
/// forwards requests and exchanges heartbeats and notices with the other entry VMs.
class EntryVm : public Following::StoreListener {
public:
    struct Environment {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::RandomSource& random;
        Ports::EventSink& events;
        Ports::MetricSink& metrics;
        const PlatformCodec& codec;
        Ports::CollectionStore& store;
        Ports::ExchangeClient& exchanges;
        EntryFleet::HeartbeatPort& heartbeats;
        Following::MirrorPort& mirrorPort;
        Suspicion::SuspicionPort& crashReports;
        Forwarding::UpstreamNoticePort& notices;
        /// Called with the caller limits of each configuration that takes effect.
        std::function<void(const Forwarding::CallerLimits&)> limitsChanged;
    };

    EntryVm(const HostSettings& settings, const Forwarding::PlacementSettings& placement, Environment environment);
    ~EntryVm() override;

    /// Starts to follow the store, registers this entry VM there, and starts heartbeats and health probes.
    auto start() -> void;
    /// Stops accepting callers. Open requests must finish before the given instant.
    auto leave(Core::Instant end) -> void;

    auto forwarder() -> Forwarding::Forwarder& { return m_forwarder; }
    auto fleet() -> EntryFleet::EntryFleet& { return m_fleet; }
    [[nodiscard]] auto mirror() const -> const Following::CollectionMirror& { return m_mirror; }
    [[nodiscard]] auto isStoreAnswering() const -> bool;
    /// Returns true if a configuration is in force and this entry VM is not shutting down.
    [[nodiscard]] auto takesCallers() const -> bool;
    /// Returns the addresses of the entry VMs that a caller should use. Empty until a configuration is in force.
    [[nodiscard]] auto callerAddresses() const -> std::vector<Core::Address>;
    /// Records an event that concerns the whole process.
    auto recordLifecycle(const char* kind, const std::string& detail) -> void;

private:
    auto storeLost() -> void override;
    auto storeRegained() -> void override;
    auto applyConfiguration(const std::shared_ptr<const Forwarding::RoutingConfiguration>& configuration) -> void;
    auto applyRetryAllowance() -> void;
    auto setUpstreams(const Forwarding::UpstreamEntries& entries) -> void;
    auto setEvacuated(const Forwarding::EvacuatedDomains& domains) -> void;
    /// Marks all upstreams as unverified and expects outdated entries, because changes during the pause were missed.
    auto recoverFromPause() -> void;
    auto startFollowing() -> void;
    auto follow(const Ports::CollectionName& name, Following::CollectionListener& listener) -> void;
    auto registerSelf() -> void;
    auto scheduleProbes() -> void;
    /// Returns the entry VMs to query while the store is unreachable: the listed peers, or the seeds if there are none.
    [[nodiscard]] auto peersToQuery() const -> std::vector<Core::Address>;
    /// Returns the entry VMs that receive this one's upstream notices and crash reports.
    [[nodiscard]] auto peersToNotify() const -> std::vector<Core::Address>;
    auto announce(const Dispatch::CrashSuspicion& report) -> void;
    auto announce(const Forwarding::UpstreamNotice& notice) -> void;
    [[nodiscard]] auto followerEnvironment() -> Following::CollectionFollower::Environment;

    const HostSettings m_settings;
    const Environment m_environment;
    const EntryFleet::EntryVmEntry m_self;
    EntryFleet::EntryFleet m_fleet;
    Forwarding::Forwarder m_forwarder;
    /// Guards both lists and their hand-over to the forwarder, so that an older pair never replaces a newer one.
    std::mutex m_listMutex;
    Forwarding::UpstreamEntries m_upstreams;
    Forwarding::EvacuatedDomains m_evacuated;
    Forwarding::UpstreamRegistry m_registry;
    ConfigurationListener m_configurationListener;
    UpstreamListener m_upstreamListener;
    EvacuationListener m_evacuationListener;
    EntryVmListener m_entryVmListener;
    Following::CollectionMirror m_mirror;
    std::shared_ptr<Following::StoreWatchdog> m_watchdog;
    std::shared_ptr<Following::PeerRefresh> m_peerRefresh;
    std::vector<std::shared_ptr<Following::CollectionFollower>> m_followers;
    std::atomic<bool> m_isLeaving { false };
    std::unique_ptr<Ports::Timer> m_probeTimer;
    std::unique_ptr<Ports::Timer> m_registrationTimer;
};

} // namespace ForwardingHost
