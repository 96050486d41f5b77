#pragma once

#include "following/peerrefresh.h"
#include "forwardinghost/hostsettings.h"
#include "forwardinghost/listeners.h"
#include "suspicion/suspicionport.h"

namespace ForwardingHost {

/// All that one entry VM decides and believes, apart from input and output: follows the store, forwards requests, and
/// keeps in touch with the other entry VMs.
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
        Suspicion::SuspicionPort& suspicions;
        Forwarding::UpstreamNoticePort& notices;
        /// Called with the limits of each configuration that comes into force.
        std::function<void(const Forwarding::CallerLimits&)> limitsChanged;
    };

    EntryVm(const HostSettings& settings, const Forwarding::PlacementSettings& placement, Environment environment);
    ~EntryVm() override;

    /// Begins to follow the store and to send heartbeats.
    auto start() -> void;
    /// Takes no new callers any more; what is open must end before the instant.
    auto leave(Core::Instant end) -> void;

    auto forwarder() -> Forwarding::Forwarder& { return m_forwarder; }
    auto fleet() -> EntryFleet::EntryFleet& { return m_fleet; }
    [[nodiscard]] auto mirror() const -> const Following::CollectionMirror& { return m_mirror; }
    [[nodiscard]] auto isStoreAnswering() const -> bool;
    /// Knows a configuration and is not about to stop.
    [[nodiscard]] auto takesCallers() const -> bool;
    /// Entry VMs that a caller should use; empty while no configuration is known.
    [[nodiscard]] auto callerAddresses() const -> std::vector<Core::Address>;
    /// Records what happened to the process as a whole.
    auto recordLifecycle(const char* kind, const std::string& detail) -> void;

private:
    auto storeLost() -> void override;
    auto storeRegained() -> void override;
    auto applyConfiguration(const std::shared_ptr<const Forwarding::RoutingConfiguration>& configuration) -> void;
    auto applyRetryAllowance() -> void;
    auto setUpstreams(const Forwarding::UpstreamEntries& entries) -> void;
    auto setEvacuated(const Forwarding::EvacuatedDomains& domains) -> void;
    /// What happened while the process was held up is not known.
    auto continueAfterHoldUp() -> void;
    auto startFollowing() -> void;
    auto follow(const Ports::CollectionName& name, Following::CollectionListener& listener) -> void;
    auto registerSelf() -> void;
    auto scheduleProbes() -> void;
    /// Entry VMs to ask when the store does not answer.
    [[nodiscard]] auto peersToAsk() const -> std::vector<Core::Address>;
    /// Entry VMs that are told what this one found out.
    [[nodiscard]] auto peersToTell() const -> std::vector<Core::Address>;
    auto announce(const Dispatch::CrashSuspicion& suspicion) -> void;
    auto announce(const Forwarding::UpstreamNotice& notice) -> void;
    [[nodiscard]] auto followerEnvironment() -> Following::CollectionFollower::Environment;

    const HostSettings m_settings;
    const Environment m_environment;
    const EntryFleet::EntryVmEntry m_self;
    EntryFleet::EntryFleet m_fleet;
    Forwarding::Forwarder m_forwarder;
    /// Guards the two lists, and that an older pair never follows a newer one.
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
