#pragma once

#include "crashreports/crashreportsender.h"
#include "crashreports/quarantinesync.h"
#include "forwarding/noticeoutbox.h"
#include "forwardinghost/delaymonitor.h"
#include "forwardinghost/entryvmsettings.h"
#include "forwardinghost/fleetsources.h"
#include "forwardinghost/listeners.h"
#include "quotas/fleetquotas.h"
#include "storesync/mirrorhost.h"
#include "storesync/sharedreads.h"

namespace ForwardingHost {

/// Contains the decisions and the state of one entry VM, without its input and output: synchronises with the store,
/// forwards requests and exchanges heartbeats and notices with the other entry VMs.
class EntryVm : public StoreSync::StoreListener {
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
        StoreSync::MirrorPort& mirrorPort;
        CrashReports::CrashReportSender& crashReports;
        CrashReports::QuarantinePort& quarantines;
        Forwarding::UpstreamNoticePort& notices;
        Quotas::PermitPort& permits;
        /// Called with the caller limits of each configuration that takes effect.
        std::function<void(const Forwarding::CallerLimits&)> limitsChanged;
        Forwarding::BufferSettings buffers {};
    };

    EntryVm(const EntryVmSettings& settings, const Forwarding::PlacementSettings& placement, Environment environment);
    ~EntryVm() override;

    /// Starts to follow the store, registers this entry VM there, and starts heartbeats and health probes.
    auto start() -> void;
    /// Stops accepting callers. Open requests must finish before the given instant.
    auto leave(Core::Instant end) -> void;

    auto forwarder() -> Forwarding::Forwarder& { return m_forwarder; }
    auto fleet() -> EntryFleet::EntryFleet& { return m_fleet; }
    auto quotas() -> Quotas::FleetQuotas& { return *m_quotas; }
    /// Answers other entry VMs that follow the store through this one.
    [[nodiscard]] auto mirrorHost() const -> const std::shared_ptr<StoreSync::MirrorHost>& { return m_mirrorHost; }
    [[nodiscard]] auto sharedReads() const -> const StoreSync::SharedReads& { return *m_sharedReads; }
    /// Answers other entry VMs that lack quarantined requests.
    auto quarantineSync() -> CrashReports::QuarantineSync& { return m_quarantineSync; }
    [[nodiscard]] auto delays() const -> const DelayMonitor& { return m_delays; }
    [[nodiscard]] auto isStoreReachable() const -> bool;
    /// Returns the numbers of the store's answers, summed over all collections.
    [[nodiscard]] auto storeReads() const -> StoreSync::ReadCounts;
    /// Returns the earliest era of the store that a copy of this VM is from.
    [[nodiscard]] auto storeEra() const -> Ports::StoreEra;
    /// Returns true if a configuration is in force and this entry VM is not shutting down.
    [[nodiscard]] auto isReady() const -> bool;
    /// Returns the addresses of the entry VMs that a caller should use. Empty until a configuration is in force.
    [[nodiscard]] auto callerAddresses() const -> std::vector<Core::Address>;
    /// Records an event that concerns the whole process.
    auto recordLifecycle(const char* kind, const std::string& detail) -> void;

private:
    auto storeLost() -> void override;
    auto storeRegained() -> void override;
    auto applyConfiguration(const std::shared_ptr<const Forwarding::RoutingConfiguration>& configuration) -> void;
    auto applyMembers() -> void;
    auto applyRetryAllowance() -> void;
    auto setUpstreams(const Forwarding::UpstreamEntries& entries) -> void;
    auto setEvacuated(const Forwarding::EvacuatedDomains& domains) -> void;
    /// Marks all upstreams as unverified, expects outdated entries and asks for quarantined requests, because changes
    /// during the pause were missed.
    auto recoverFromPause() -> void;
    auto startFollowing() -> void;
    auto follow(const Ports::CollectionName& name, StoreSync::CollectionListener& listener) -> void;
    auto registerSelf() -> void;
    /// Registers this VM again some time later if the store has lost its entry. The VMs of a fleet do not do so all at
    /// once.
    auto restoreRegistration() -> void;
    auto scheduleRegistration(Core::Duration delay) -> void;
    [[nodiscard]] auto returnHold(const Ports::CollectionName& name) const -> Core::Duration;
    auto scheduleProbes() -> void;
    /// Returns the entry VMs that receive this one's upstream notices and crash reports.
    [[nodiscard]] auto peersToNotify() const -> std::vector<Core::Address>;
    auto announce(const Dispatch::CrashReport& report) -> void;
    [[nodiscard]] auto followerEnvironment() -> StoreSync::CollectionFollower::Environment;

    const EntryVmSettings m_settings;
    const Environment m_environment;
    const EntryFleet::EntryVmEntry m_self;
    EntryFleet::EntryFleet m_fleet;
    const std::shared_ptr<Quotas::FleetQuotas> m_quotas;
    Forwarding::Forwarder m_forwarder;
    CrashReports::QuarantineSync m_quarantineSync;
    Forwarding::NoticeOutbox m_noticeOutbox;
    /// Guards both lists and their hand-over to the forwarder, so that an older pair never replaces a newer one.
    std::mutex m_listMutex;
    Forwarding::UpstreamEntries m_upstreams;
    Forwarding::EvacuatedDomains m_evacuated;
    Forwarding::UpstreamRegistry m_registry;
    ConfigurationListener m_configurationListener;
    UpstreamListener m_upstreamListener;
    EvacuationListener m_evacuationListener;
    EntryVmListener m_entryVmListener;
    StoreSync::CollectionMirror m_mirror;
    FleetSources m_sources;
    std::shared_ptr<StoreSync::StoreWatchdog> m_watchdog;
    std::shared_ptr<StoreSync::SharedReads> m_sharedReads;
    std::shared_ptr<StoreSync::MirrorHost> m_mirrorHost;
    std::vector<std::shared_ptr<StoreSync::CollectionFollower>> m_followers;
    /// Follows the list of the entry VMs.
    std::shared_ptr<StoreSync::CollectionFollower> m_fleetFollower;
    std::atomic<bool> m_isLeaving { false };
    DelayMonitor m_delays { m_environment.clock, m_environment.events };
    std::unique_ptr<Ports::Timer> m_probeTimer;
    std::mutex m_registrationMutex;
    /// Revision of this VM's own entry; nothing while it is being written.
    std::optional<Ports::StoreRevision> m_registration;
    std::unique_ptr<Ports::Timer> m_registrationTimer;
};

} // namespace ForwardingHost
