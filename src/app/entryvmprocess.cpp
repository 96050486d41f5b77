#include "app/entryvmprocess.h"

#include <algorithm>
#include <csignal>

namespace App {

namespace {

    constexpr Core::Millis housekeepingInterval { 10'000 };
    const Ports::EventKind processStarted { "process.started" };
    const Ports::EventKind processLeaving { "process.leaving" };
    const Ports::EventKind processStopped { "process.stopped" };
    const Ports::EventKind taskFailed { "process.task-failed" };

    auto callerLimits(const ServeSettings& settings) -> HttpServer::Limits
    {
        HttpServer::Limits limits;
        limits.maximumConnections = settings.maximumConnections;
        return limits;
    }

} // namespace

EntryVmProcess::EntryVmProcess(const ServeSettings& settings)
    : m_settings(settings)
    , m_runtime(settings.threads)
    , m_telemetry(settings, { m_clock, m_configuration, m_peerTraffic })
    , m_events(m_telemetry.events())
    , m_client(m_runtime.context())
    , m_store(m_client, settings.store)
    , m_upstreams(m_client, m_clock)
    , m_meteredUpstreams(m_upstreams, m_telemetry.metrics())
    , m_peers(m_runtime.context(), m_peerTraffic, &m_telemetry.causalClock())
    , m_fleetState(
          { m_clock, m_runtime, m_random, m_events, m_store, m_peers, m_peerHandlers, m_configuration, m_fleet },
          settings, m_incarnation)
    , m_dispatcher({ m_clock, m_runtime, m_meteredUpstreams, m_fleet, m_configuration, m_fleetState.ownership() },
          settings.failureDomain)
    , m_crashReportPeer(m_peers)
    , m_crashReportGossip(
          { m_clock, m_random, m_fleetState.members(), m_fleet, m_crashReportPeer, m_dispatcher.quarantine() },
          settings.id)
    , m_relayPeer(m_peers)
    , m_steering({ m_clock, m_random, m_runtime, m_store, m_events, m_configuration, m_fleet, m_fleetState.members(),
                     m_dispatcher, m_dispatcher, m_relayPeer, m_relayPeer, m_clientBlocks },
          { settings.id, settings.failureDomain, settings.region })
    , m_ledgerPeers(m_peers, m_fleetState.members(), m_fleet, m_clock)
    , m_bookings({ m_clock, m_runtime, m_fleetState.members(), m_events, m_steering.dispatcher(), m_ledgerPeers,
                     m_ledgerPeers, m_fleet },
          { settings.id, m_incarnation, settings.failureDomain, settings.region }, {})
    , m_requests({ m_clock, m_configuration, m_steering.lookups(), m_steering.dispatcher(), m_bookings.coordinator(),
          m_bookings.prefixes(), m_events })
    , m_meteredRequests({ m_requests, m_clock, m_configuration, m_telemetry.metrics() })
    , m_front(m_meteredRequests, m_clock, m_random)
    , m_statusHandler(m_fleetState.status(), m_front)
    , m_paths(m_front)
    , m_server(m_runtime.context(), settings.listen, m_paths, callerLimits(settings))
    , m_peerServer(m_runtime.context(), settings.peerListen, m_peerHandlers, m_peerTraffic, &m_telemetry.causalClock())
    , m_leaveLimit(settings.leaveLimit)
    , m_signals(m_runtime.context(), SIGTERM, SIGINT)
{
    m_telemetry.addPaths(m_paths);
    for (const auto path : { HttpStatus::statusPath, HttpStatus::documentPath })
        m_paths.add(std::string(path), m_statusHandler);
    if (!settings.adminListen.value().empty())
        m_adminServer
            = std::make_unique<HttpServer::Server>(m_runtime.context(), settings.adminListen, m_telemetry.admin());
}

EntryVmProcess::~EntryVmProcess() = default;

auto EntryVmProcess::run() -> void
{
    m_dispatcher.setCrashReportPublisher(m_crashReportGossip);
    CrashReportPeer::registerCrashReportHandler(
        m_peerHandlers, [this](const Dispatch::CrashReport& crashReport) { m_crashReportGossip.accept(crashReport); });
    LedgerPeer::registerHandlers(
        m_peerHandlers, m_bookings.backup(), m_bookings.coordinator(), m_configuration, m_clock);
    RelayPeer::registerRelayHandlers(m_peerHandlers, m_steering.relayHandler(), m_steering.creditHandler());
    m_bookings.start();
    m_events.record({ processStarted, {},
        { { "port", std::to_string(m_server.port()) }, { "peerPort", std::to_string(m_peerServer.port()) } } });
    scheduleHousekeeping();
    m_fleetState.start(boundAddress(m_settings.listen, m_server.port()),
        boundAddress(m_settings.peerListen, m_peerServer.port()), { m_bookings.prefixes(), m_dispatcher });
    m_dispatcher.start();
    m_steering.start();
    m_signals.async_wait([this](boost::system::error_code error, int) {
        if (!error)
            leave();
    });
    m_runtime.run([this](const std::string& problem) {
        m_events.record({ taskFailed, {}, { { "detail", problem } } });
    });
    m_events.record({ processStopped, {}, {} });
}

auto EntryVmProcess::scheduleHousekeeping() -> void
{
    m_housekeeping = m_runtime.after(housekeepingInterval, [this] {
        m_peers.closeIdleConnections();
        scheduleHousekeeping();
    });
}

auto EntryVmProcess::leave() -> void
{
    // Callers with a look-up answer keep using this entry VM until the answer expires.
    const auto wait = std::min<Core::Duration>(m_configuration.current()->lookupLifetime, m_leaveLimit);
    m_events.record({ processLeaving, {}, { { "waitMs", std::to_string(Core::asMillis(wait)) } } });
    m_fleetState.announceLeaving();
    m_steering.leave();
    m_leaveTimer = m_runtime.after(wait, [this] { shutDown(); });
}

auto EntryVmProcess::shutDown() -> void
{
    m_requests.refuseNew();
    m_steering.refuseNew();
    m_bookings.close();
    auto handOver = [this] {
        m_bookings.handOver([this] {
            m_fleetState.stop();
            m_runtime.stop();
        });
    };
    auto stopPeers = [this, handOver] { m_peerServer.shutDown(handOver); };
    m_server.shutDown([this, stopPeers] { m_dispatcher.drain(stopPeers); });
}

} // namespace App
