#include "forwardinghost/entryvm.h"

namespace ForwardingHost {

namespace {

    /// Interval between checks for upstreams that need a health probe.
    constexpr Core::Millis probeInterval { 100 };
    constexpr Core::Millis registrationRetry { 500 };
    /// Time within which the VMs whose entries the store has lost register again.
    constexpr Core::Millis registrationSpread { 1500 };
    constexpr std::uint64_t registrationSpreadSteps = 1024;
    /// Times for which a store that returned from an older copy may lack what it had acknowledged. The operator takes
    /// longer than the programs to write it again.
    constexpr Core::Millis evacuationHold { 10'000 };
    constexpr Core::Millis entryVmHold { 5000 };
    /// Largest number of entry VMs that receive an upstream notice or a crash report.
    constexpr std::size_t maximumAnnouncementTargets = 32;
    /// Share of the fleet's retry budget that is used. The rest is a reserve, because the entry VMs' views of the size
    /// of the fleet differ for a while after a change.
    constexpr double usedAllowanceShare = 0.7;

    auto makeOwnEntry(const EntryVmSettings& settings, Core::WallTime now) -> EntryFleet::EntryVmEntry
    {
        return { settings.id, Core::ProcessStartId(now.time_since_epoch().count()), settings.failureDomain,
            settings.region, settings.front, settings.heartbeats, settings.peers, settings.processor };
    }

    auto treeMember(const EntryFleet::EntryVmEntry& entry) -> Quotas::TreeMember
    {
        constexpr double hundredths = 100;
        return { entry.id, entry.failureDomain, entry.region, entry.peers,
            Core::Percent(static_cast<std::uint32_t>(entry.processor.value() * hundredths)) };
    }

} // namespace

EntryVm::EntryVm(
    const EntryVmSettings& settings, const Forwarding::PlacementSettings& placement, Environment environment)
    : m_settings(settings)
    , m_environment(std::move(environment))
    , m_self(makeOwnEntry(m_settings, m_environment.clock.wallTime()))
    , m_fleet(m_self,
          { m_environment.clock, m_environment.scheduler, m_environment.events, m_environment.heartbeats,
              [this] { recoverFromPause(); }, [this] { return m_quarantineSync.digest(); },
              [this](const Core::Address& entryVm, Dispatch::QuarantineDigest digest) {
                  m_quarantineSync.receive(entryVm, digest);
              } })
    , m_quotas(std::make_shared<Quotas::FleetQuotas>(treeMember(m_self), m_self.start, m_settings.quotaBounds,
          Quotas::FleetQuotas::Environment {
              m_environment.clock, m_environment.scheduler, m_environment.events, m_environment.permits }))
    , m_forwarder({ m_environment.clock, m_environment.scheduler, m_environment.random, m_environment.exchanges,
          m_environment.events, m_environment.metrics,
          { { m_settings.failureDomain, m_settings.region }, m_fleet, placement }, m_quotas, m_environment.buffers })
    , m_quarantineSync({ m_environment.clock, m_environment.scheduler, m_environment.random, m_environment.events,
          m_environment.quarantines, m_forwarder.crashGuard() })
    , m_noticeOutbox(
          { m_environment.clock, m_environment.scheduler, m_environment.notices, [this] { return peersToNotify(); } })
    , m_registry({ m_environment.clock, m_environment.scheduler, m_environment.events },
          [this](const Forwarding::UpstreamEntries& entries) { setUpstreams(entries); })
    , m_configurationListener({ m_environment.codec, m_environment.clock, m_environment.events },
          [this](const auto& configuration) { applyConfiguration(configuration); })
    , m_upstreamListener({ m_environment.codec, m_environment.clock, m_environment.events }, m_registry)
    , m_evacuationListener({ m_environment.codec, m_environment.clock, m_environment.events },
          [this](const Forwarding::EvacuatedDomains& domains) { setEvacuated(domains); })
    , m_entryVmListener(
          { m_environment.codec, m_environment.clock, m_environment.events }, m_fleet, [this] { applyMembers(); })
    , m_mirror(m_environment.clock)
    , m_sources(m_settings, m_fleet)
    , m_watchdog(std::make_shared<StoreSync::StoreWatchdog>(followerEnvironment(), *this))
    , m_sharedReads(std::make_shared<StoreSync::SharedReads>(
          StoreSync::SharedReads::Environment { followerEnvironment(), m_environment.mirrorPort, m_mirror, *m_watchdog,
              m_sources, m_environment.codec.collections().entryVms, m_settings.storeWatchers,
              [this] { m_registry.storeRegained(); }, [this](bool isLost) { m_forwarder.setListStale(isLost); } }))
    , m_mirrorHost(std::make_shared<StoreSync::MirrorHost>(StoreSync::MirrorHost::Environment { m_environment.scheduler,
          m_mirror, [reads = m_sharedReads] { return reads->contact(); },
          [watchdog = m_watchdog](Ports::StoreEra era) { watchdog->checkEra(era); } }))
{
    m_forwarder.crashGuard().setCrashReportCallback([this](const Dispatch::CrashReport& report) { announce(report); });
    m_forwarder.setNoticeCallback([this](const Forwarding::UpstreamNotice& notice) { m_noticeOutbox.add(notice); });
}

EntryVm::~EntryVm() = default;

auto EntryVm::start() -> void
{
    applyRetryAllowance();
    m_registry.expectOutdatedEntries();
    startFollowing();
    registerSelf();
    m_fleet.start();
    scheduleProbes();
}

auto EntryVm::followerEnvironment() -> StoreSync::CollectionFollower::Environment
{
    return { m_environment.clock, m_environment.store, m_environment.scheduler, m_environment.random,
        m_environment.events, m_mirror, m_settings.batchingDelay };
}

auto EntryVm::startFollowing() -> void
{
    const auto names = m_environment.codec.collections();
    follow(names.configuration, m_configurationListener);
    follow(names.upstreams, m_upstreamListener);
    follow(names.evacuations, m_evacuationListener);
    follow(names.entryVms, m_entryVmListener);
    m_watchdog->start();
    m_sharedReads->start();
}

auto EntryVm::follow(const Ports::CollectionName& name, StoreSync::CollectionListener& listener) -> void
{
    auto environment = followerEnvironment();
    const bool isUpstreamCollection = name == m_environment.codec.collections().upstreams;
    environment.storeAnswered = [this, isUpstreamCollection] {
        m_watchdog->recordResponse();
        if (isUpstreamCollection)
            m_forwarder.setListStale(false);
    };
    if (isUpstreamCollection)
        environment.storeFailed = [this] { m_forwarder.setListStale(true); };
    const bool isFleet = name == m_environment.codec.collections().entryVms;
    environment.changed = [this, isFleet] {
        m_mirrorHost->notify();
        if (isFleet)
            restoreRegistration();
    };
    environment.eraSeen = [this](Ports::StoreEra era) { m_watchdog->recordEra(era); };
    environment.isCurrent = [this] { return m_sharedReads->isCurrent(); };
    environment.returnHold = returnHold(name);
    const auto follower = std::make_shared<StoreSync::CollectionFollower>(name, listener, std::move(environment));
    m_followers.push_back(follower);
    if (isFleet)
        m_fleetFollower = follower;
    m_watchdog->add(follower);
    m_sharedReads->add(name, follower);
}

auto EntryVm::returnHold(const Ports::CollectionName& name) const -> Core::Duration
{
    const auto names = m_environment.codec.collections();
    if (name == names.evacuations)
        return evacuationHold;
    if (name == names.entryVms)
        return entryVmHold;
    return Forwarding::UpstreamRegistry::storeReturnGracePeriod;
}

auto EntryVm::registerSelf() -> void
{
    const auto name = m_environment.codec.collections().entryVms;
    m_environment.store.put(
        name, m_environment.codec.encodeEntryVm(m_self), [this](const Core::Result<Ports::StoreRevision>& result) {
            m_sharedReads->handleRegistration(result.has_value());
            if (result) {
                {
                    const std::lock_guard lock(m_registrationMutex);
                    m_registration = *result;
                }
                restoreRegistration();
                return;
            }
            recordLifecycle("registration.failed", describe(result.error()));
            scheduleRegistration(registrationRetry);
        });
}

auto EntryVm::scheduleRegistration(Core::Duration delay) -> void
{
    const std::lock_guard lock(m_registrationMutex);
    m_registrationTimer = m_environment.scheduler.after(delay, [this] { registerSelf(); });
}

auto EntryVm::restoreRegistration() -> void
{
    const auto listedRevision = m_fleetFollower->revision();
    {
        const std::lock_guard lock(m_registrationMutex);
        // A copy that is older than the own entry cannot have it yet.
        if (m_isLeaving || m_fleet.isSelfListed() || !m_registration || listedRevision < *m_registration)
            return;
        m_registration.reset();
    }
    recordLifecycle("registration.lost", "the store lists this VM no longer; it registers again");
    const auto step = m_environment.random.next() % registrationSpreadSteps;
    scheduleRegistration(Core::Duration(registrationSpread) * step / registrationSpreadSteps);
}

auto EntryVm::scheduleProbes() -> void
{
    const auto due = m_environment.clock.now() + probeInterval;
    m_probeTimer = m_environment.scheduler.after(probeInterval, [this, due] {
        m_delays.recordHandled(due);
        m_fleet.setBusy(m_delays.isBusy());
        m_forwarder.runProbes();
        scheduleProbes();
    });
}

auto EntryVm::leave(Core::Instant end) -> void
{
    m_isLeaving = true;
    m_forwarder.setShutdownDeadline(end);
    m_fleet.leave();
}

auto EntryVm::isStoreReachable() const -> bool { return m_watchdog->isStoreReachable(); }

auto EntryVm::storeReads() const -> StoreSync::ReadCounts
{
    StoreSync::ReadCounts sum;
    for (const auto& follower : m_followers) {
        const auto counts = follower->counts();
        sum.lists += counts.lists;
        sum.unappliedLists += counts.unappliedLists;
        sum.lostHistories += counts.lostHistories;
    }
    return sum;
}

auto EntryVm::storeEra() const -> Ports::StoreEra
{
    std::optional<Ports::StoreEra> earliest;
    for (const auto& follower : m_followers) {
        const auto era = follower->revision().era();
        earliest = earliest ? std::min(*earliest, era) : era;
    }
    return earliest.value_or(Ports::StoreEra());
}

auto EntryVm::isReady() const -> bool { return !m_isLeaving && m_forwarder.configuration() != nullptr; }

auto EntryVm::callerAddresses() const -> std::vector<Core::Address>
{
    if (!m_forwarder.configuration())
        return {};
    return m_fleet.callerAddresses();
}

auto EntryVm::peersToNotify() const -> std::vector<Core::Address>
{
    auto peers = m_fleet.peerAddresses();
    peers.resize(std::min(peers.size(), maximumAnnouncementTargets));
    return peers;
}

auto EntryVm::announce(const Dispatch::CrashReport& report) -> void
{
    for (const auto& address : peersToNotify()) {
        Fleet::EntryVm target;
        target.peerAddress = address;
        m_environment.crashReports.send(target, report, [] {});
    }
}

auto EntryVm::applyConfiguration(const std::shared_ptr<const Forwarding::RoutingConfiguration>& configuration) -> void
{
    m_quotas->setOrganisations(configuration->organisations);
    m_forwarder.setConfiguration(configuration);
    m_environment.limitsChanged(configuration->limits);
}

auto EntryVm::applyMembers() -> void
{
    applyRetryAllowance();
    const auto listed = m_fleet.listed();
    if (!listed)
        return;
    std::vector<Quotas::TreeMember> members;
    for (const auto& entry : *listed)
        members.push_back(treeMember(entry));
    m_quotas->setMembers(std::move(members));
}

auto EntryVm::applyRetryAllowance() -> void
{
    const auto entryVms = static_cast<double>(m_fleet.knownCount());
    m_forwarder.setRetryAllowance(
        { m_settings.retryRatio * usedAllowanceShare, m_settings.retrySlack * usedAllowanceShare / entryVms });
}

auto EntryVm::setUpstreams(const Forwarding::UpstreamEntries& entries) -> void
{
    const std::lock_guard lock(m_listMutex);
    m_upstreams = entries;
    m_forwarder.setUpstreams(m_upstreams, m_evacuated);
}

auto EntryVm::setEvacuated(const Forwarding::EvacuatedDomains& domains) -> void
{
    const std::lock_guard lock(m_listMutex);
    m_evacuated = domains;
    m_forwarder.setUpstreams(m_upstreams, m_evacuated);
}

auto EntryVm::recoverFromPause() -> void
{
    m_registry.expectOutdatedEntries();
    m_forwarder.markUpstreamsUnverified();
    m_quarantineSync.catchUp();
}

auto EntryVm::storeLost() -> void
{
    recordLifecycle("store.unanswered", "the store is unreachable; its last known state stays in force");
    m_registry.storeLost();
    m_forwarder.setListStale(true);
    m_sharedReads->wake();
    m_mirrorHost->notify();
}

auto EntryVm::storeRegained() -> void
{
    recordLifecycle("store.answers", "the store is reachable again");
    m_forwarder.setListStale(false);
    m_registry.storeRegained();
}

auto EntryVm::recordLifecycle(const char* kind, const std::string& detail) -> void
{
    m_environment.events.record({ Ports::EventKind(kind), {},
        { { "detail", detail }, { "failureDomain", m_settings.failureDomain.value() },
            { "start", std::to_string(m_self.start.value()) } } });
}

} // namespace ForwardingHost
