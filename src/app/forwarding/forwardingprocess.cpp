#include "app/forwarding/forwardingprocess.h"

#include <csignal>

namespace App {

namespace {

    /// Share of the descriptors that callers' connections may use; the rest is for upstreams and the store.
    constexpr double callerDescriptorShare = 0.6;
    /// Part of the memory that callers' bodies may take.
    constexpr std::uint64_t bodyMemoryDivisor = 4;
    constexpr Core::Millis housekeepingInterval { 100 };
    /// Interval at which connections to other entry VMs that no call used are closed.
    constexpr Core::Millis peerCloseInterval { 5000 };
    /// Entry VMs that are told of a request that crashes upstreams.
    constexpr std::size_t announcementTargets = 32;
    constexpr Core::Millis registrationRetry { 500 };
    /// A connection whose other end acknowledges nothing for so long is broken.
    constexpr Core::Millis silenceTimeout { 2000 };
    constexpr Core::Millis connectTimeout { 700 };
    /// Part of the fleet's allowance of repeats that is used: views of the fleet's size differ for a while.
    constexpr double usedAllowanceShare = 0.7;
    /// Callers that hold an old look-up answer come for this time after the process began to stop.
    constexpr Core::Millis leavingTime { 2500 };
    /// Left at the end of the time to stop for answers to be written and the process to end.
    constexpr Core::Millis stopMargin { 500 };
    constexpr Core::Millis stopPollInterval { 100 };

    auto storeLimits() -> HttpClient::Limits
    {
        HttpClient::Limits limits;
        limits.maximumBody = Core::Bytes(16UL * 1024 * 1024);
        limits.connectTimeout = connectTimeout;
        limits.silenceTimeout = silenceTimeout;
        return limits;
    }

    auto upstreamLimits() -> HttpClient::Limits
    {
        auto limits = storeLimits();
        limits.idleTimeout = Core::Millis(8000);
        limits.idleConnectionsPerAddress = 16;
        return limits;
    }

    auto callerLimits(const ForwardingHost::HostSettings& settings, const Forwarding::CallerLimits& limits)
        -> HttpServer::Limits
    {
        HttpServer::Limits result;
        result.maximumHeader = limits.header;
        // A body is held whole until it is sent; none may take the memory of the process.
        result.maximumBody = std::min(limits.body, Core::Bytes(settings.memory.value() / bodyMemoryDivisor));
        result.maximumBodyTotal = Core::Bytes(settings.memory.value() / bodyMemoryDivisor);
        result.idleTimeout = limits.idleTime;
        result.headerTimeout = limits.headerTime;
        result.maximumConnections
            = static_cast<std::size_t>(static_cast<double>(settings.descriptors) * callerDescriptorShare);
        return result;
    }

    auto selfOf(const ForwardingHost::HostSettings& settings, Core::WallTime now) -> EntryFleet::EntryVmEntry
    {
        return { settings.id, Core::StartMark(now.time_since_epoch().count()), settings.failureDomain, settings.region,
            settings.front, settings.heartbeats, settings.peers };
    }

} // namespace

ForwardingProcess::ForwardingProcess(ForwardingHost::HostSettings settings,
    const Forwarding::PlacementSettings& placement, const PlatformAdapter& platform, ReadSettings reload)
    : m_settings(std::move(settings))
    , m_platform(platform)
    , m_reload(std::move(reload))
    , m_runtime(m_settings.threads)
    , m_storeClient(m_runtime.context(), storeLimits())
    , m_upstreamClient(m_runtime.context(), upstreamLimits())
    , m_observation({ m_settings.id }, m_clock,
          { { "upstream_connections_total", Metrics::Reading::Type::Counter,
                [this] { return m_upstreamClient.openedConnections(); } },
              { "heartbeats_malformed_total", Metrics::Reading::Type::Counter,
                  [this] { return m_datagrams.malformedCount(); } } })
    , m_store(platform.makeStore(m_storeClient))
    , m_self(selfOf(m_settings, m_clock.wallTime()))
    , m_datagrams(m_runtime.context(), m_settings.heartbeats)
    , m_peers(m_runtime.context(), m_peerTraffic)
    , m_mirrorPeer(m_peers)
    , m_suspicionPeer(m_peers)
    , m_fleet(m_self, { m_clock, m_runtime, m_observation.events(), m_datagrams })
    , m_exchanges(m_upstreamClient, platform.headerNames())
    , m_forwarder({ m_clock, m_runtime, m_random, m_exchanges, m_observation.events(), m_observation.metrics(),
          { { m_settings.failureDomain, m_settings.region }, m_fleet, placement } })
    , m_registry({ m_clock, m_runtime, m_observation.events() },
          [this](const Forwarding::UpstreamEntries& entries) {
              const std::lock_guard lock(m_listMutex);
              m_upstreams = entries;
              m_forwarder.setUpstreams(m_upstreams, m_evacuated);
          })
    , m_configurationListener({ platform.codec(), m_clock, m_observation.events() },
          [this](const auto& configuration) { applyConfiguration(configuration); })
    , m_upstreamListener({ platform.codec(), m_clock, m_observation.events() }, m_registry)
    , m_evacuationListener({ platform.codec(), m_clock, m_observation.events() },
          [this](const Forwarding::EvacuatedDomains& domains) {
              const std::lock_guard lock(m_listMutex);
              m_evacuated = domains;
              m_forwarder.setUpstreams(m_upstreams, m_evacuated);
          })
    , m_entryVmListener(
          { platform.codec(), m_clock, m_observation.events() }, m_fleet, [this] { applyRetryAllowance(); })
    , m_front(m_forwarder, platform.headerNames())
    , m_readiness(platform.makeReadinessHandler([this] { return isReady(); }))
    , m_lookup(platform.makeLookupHandler([this] { return directions(); }))
    , m_frontServer(m_runtime.context(), m_settings.front, m_front, callerLimits(m_settings, {}))
    , m_readinessServer(m_runtime.context(), m_settings.readiness, *m_readiness)
    , m_lookupServer(m_runtime.context(), m_settings.lookup, *m_lookup)
    , m_adminServer(m_runtime.context(), m_settings.metrics, m_observation.admin())
    , m_peerServer(m_runtime.context(), m_settings.peers, m_peerHandlers, m_peerTraffic)
    , m_signals(m_runtime.context(), SIGTERM, SIGINT, SIGHUP)
{
}

ForwardingProcess::~ForwardingProcess() = default;

auto ForwardingProcess::run() -> void
{
    recordLifecycle("process.started", "listens at " + m_settings.front.value());
    awaitSignal();
    registerPeerHandlers();
    m_datagrams.start([this](const EntryFleet::Heartbeat& heartbeat) { m_fleet.receive(heartbeat); });
    applyRetryAllowance();
    startFollowing();
    registerSelf();
    m_fleet.start();
    scheduleHousekeeping();
    m_runtime.run();
}

auto ForwardingProcess::startFollowing() -> void
{
    const Following::CollectionFollower::Environment environment { *m_store, m_runtime, m_random,
        m_observation.events(), m_mirror };
    const auto names = m_platform.codec().collections();
    const auto follow = [&](const Ports::CollectionName& name, Following::CollectionListener& listener) {
        m_followers.push_back(std::make_shared<Following::CollectionFollower>(name, listener, environment));
    };
    follow(names.configuration, m_configurationListener);
    follow(names.upstreams, m_upstreamListener);
    follow(names.evacuations, m_evacuationListener);
    follow(names.entryVms, m_entryVmListener);
    m_watchdog = std::make_shared<Following::StoreWatchdog>(environment, *this);
    m_peerRefresh = std::make_shared<Following::PeerRefresh>(Following::PeerRefresh::Environment {
        environment, m_mirrorPeer, m_mirror, [this] { return peersToAsk(); }, [this] { m_registry.storeRegained(); } });
    for (const auto& follower : m_followers) {
        m_watchdog->add(follower);
        m_peerRefresh->add(follower->name(), follower);
        follower->start();
    }
    m_watchdog->start();
}

auto ForwardingProcess::registerSelf() -> void
{
    const auto names = m_platform.codec().collections();
    m_store->put(names.entryVms, m_platform.codec().encodeEntryVm(m_self),
        [this](const Core::Result<Ports::StoreRevision>& result) {
            if (result)
                return;
            recordLifecycle("registration.failed", describe(result.error()));
            m_registration = m_runtime.after(registrationRetry, [this] { registerSelf(); });
        });
}

auto ForwardingProcess::registerPeerHandlers() -> void
{
    MirrorPeer::registerMirrorHandler(m_peerHandlers, m_mirror, [this] { return m_watchdog->isAnswering(); });
    auto& guard = m_forwarder.crashGuard();
    SuspicionPeer::registerSuspicionHandler(
        m_peerHandlers, [&guard](const Dispatch::CrashSuspicion& suspicion) { guard.accept(suspicion); });
    guard.setAnnounce([this](const Dispatch::CrashSuspicion& suspicion) { announceSuspicion(suspicion); });
}

auto ForwardingProcess::peersToAsk() const -> std::vector<Core::Address>
{
    auto peers = m_fleet.peerAddresses();
    return peers.empty() ? m_settings.seeds : peers;
}

auto ForwardingProcess::announceSuspicion(const Dispatch::CrashSuspicion& suspicion) -> void
{
    auto targets = m_fleet.peerAddresses();
    targets.resize(std::min(targets.size(), announcementTargets));
    for (const auto& address : targets) {
        Fleet::EntryVm target;
        target.peerAddress = address;
        m_suspicionPeer.send(target, suspicion, [] {});
    }
}

auto ForwardingProcess::applyConfiguration(const std::shared_ptr<const Forwarding::RoutingConfiguration>& configuration)
    -> void
{
    m_forwarder.setConfiguration(configuration);
    m_frontServer.setLimits(callerLimits(m_settings, configuration->limits));
}

auto ForwardingProcess::applyRetryAllowance() -> void
{
    const auto entryVms = static_cast<double>(m_fleet.listedCount());
    m_forwarder.setRetryAllowance(
        { m_settings.retryRatio * usedAllowanceShare, m_settings.retrySlack * usedAllowanceShare / entryVms });
}

auto ForwardingProcess::isReady() const -> bool { return !m_isStopping && m_forwarder.configuration() != nullptr; }

auto ForwardingProcess::directions() const -> CallerDirections
{
    if (!m_forwarder.configuration())
        return {};
    return { m_fleet.callerAddresses(), m_settings.lookupLifetime };
}

auto ForwardingProcess::storeLost() -> void
{
    recordLifecycle("store.unanswered", "what is known of the store stays in force");
    m_registry.storeLost();
    m_peerRefresh->start();
}

auto ForwardingProcess::storeRegained() -> void
{
    recordLifecycle("store.answers", "the store answers again");
    m_peerRefresh->stop();
    m_registry.storeRegained();
}

auto ForwardingProcess::scheduleHousekeeping() -> void
{
    m_housekeeping = m_runtime.after(housekeepingInterval, [this] {
        m_forwarder.runProbes();
        const auto now = m_clock.now();
        if (now - m_peersClosedAt >= peerCloseInterval) {
            m_peersClosedAt = now;
            m_peers.closeIdleConnections();
        }
        scheduleHousekeeping();
    });
}

auto ForwardingProcess::awaitSignal() -> void
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reloadSettings();
        else
            startStop();
        awaitSignal();
    });
}

auto ForwardingProcess::reloadSettings() -> void
{
    const auto settings = m_reload();
    if (!settings)
        recordLifecycle("settings.refused", describe(settings.error()));
    else
        recordLifecycle("settings.reloaded", "addresses and limits apply from the next start");
}

auto ForwardingProcess::startStop() -> void
{
    if (m_isStopping.exchange(true))
        return;
    const auto now = m_clock.now();
    m_stopAt = now + leavingTime;
    m_stopLatest = now + m_settings.stopTime - stopMargin;
    recordLifecycle("process.stopping", std::to_string(m_frontServer.openRequests()) + " requests are open");
    m_forwarder.setEnd(m_stopLatest);
    m_frontServer.startDraining();
    m_fleet.leave();
    continueStop();
}

auto ForwardingProcess::continueStop() -> void
{
    const auto now = m_clock.now();
    const bool isQuiet = now >= m_stopAt && m_frontServer.openRequests() == 0;
    if (!isQuiet && now < m_stopLatest) {
        m_stopTimer = m_runtime.after(stopPollInterval, [this] { continueStop(); });
        return;
    }
    m_frontServer.shutDown([this] {
        recordLifecycle("process.stopped", "all callers have their answers");
        m_runtime.stop();
    });
    m_stopTimer = m_runtime.after(stopMargin / 2, [this] {
        recordLifecycle("process.stopped", std::to_string(m_frontServer.openRequests()) + " requests were cut");
        m_runtime.stop();
    });
}

auto ForwardingProcess::recordLifecycle(const char* kind, const std::string& detail) -> void
{
    m_observation.events().record({ Ports::EventKind(kind), {},
        { { "detail", detail }, { "failureDomain", m_settings.failureDomain.value() },
            { "start", std::to_string(m_self.start.value()) } } });
}

} // namespace App
