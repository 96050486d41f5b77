#include "app/forwarding/forwardingprocess.h"

#include "app/forwarding/quotametrics.h"

#include <csignal>

namespace App {

namespace {

    /// Share of the file descriptors for connections of callers; the rest is for upstreams and the store.
    constexpr double callerDescriptorShare = 0.6;
    /// The memory limit divided by this is the limit for the request bodies of callers, and for the answers of
    /// upstreams.
    constexpr std::uint64_t bodyMemoryDivisor = 4;
    /// Interval at which idle connections to other entry VMs are closed.
    constexpr Core::Millis idlePeerCloseInterval { 5000 };
    /// A connection is considered broken if the peer acknowledges nothing for this time.
    constexpr Core::Millis deadPeerTimeout { 2000 };
    constexpr Core::Millis connectTimeout { 700 };
    /// Callers with an old look-up answer may still connect for this time after the shutdown starts.
    constexpr Core::Millis drainTime { 2500 };
    /// Time reserved before the process is killed, for writing answers and exiting.
    constexpr Core::Millis shutdownMargin { 500 };

    auto bodyMemory(const ForwardingHost::EntryVmSettings& settings) -> Core::Bytes
    {
        return Core::Bytes(settings.memory.value() / bodyMemoryDivisor);
    }

    auto storeLimits() -> HttpClient::Limits
    {
        HttpClient::Limits limits;
        limits.maximumBody = Core::Bytes(16UL * 1024 * 1024);
        limits.connectTimeout = connectTimeout;
        limits.deadPeerTimeout = deadPeerTimeout;
        return limits;
    }

    auto upstreamLimits(const ForwardingHost::EntryVmSettings& settings) -> HttpClient::Limits
    {
        auto limits = storeLimits();
        limits.maximumBody = std::min(limits.maximumBody, bodyMemory(settings));
        limits.idleTimeout = Core::Millis(8000);
        limits.idleConnectionsPerAddress = 16;
        return limits;
    }

    auto callerLimits(const ForwardingHost::EntryVmSettings& settings, const Forwarding::CallerLimits& limits)
        -> HttpServer::Limits
    {
        HttpServer::Limits result;
        result.maximumHeader = limits.header;
        // A body is buffered completely until it is sent, so a single one must not exhaust the memory of the process.
        result.maximumBody = std::min(limits.body, bodyMemory(settings));
        result.maximumBodyTotal = bodyMemory(settings);
        result.idleTimeout = limits.idleTime;
        result.headerTimeout = limits.headerTime;
        result.maximumConnections
            = static_cast<std::size_t>(static_cast<double>(settings.descriptors) * callerDescriptorShare);
        return result;
    }

} // namespace

ForwardingProcess::ForwardingProcess(ForwardingHost::EntryVmSettings settings,
    const Forwarding::PlacementSettings& placement, const PlatformAdapter& platform, ReadSettings reload)
    : m_settings(std::move(settings))
    , m_reload(std::move(reload))
    , m_runtime(m_settings.threads)
    , m_signals(m_runtime.context(), { SIGTERM, SIGINT, SIGHUP })
    , m_answerBuffers(std::make_shared<Core::BufferAccount>(bodyMemory(m_settings)))
    , m_storeClient(m_runtime.context(), storeLimits())
    , m_upstreamClient(m_runtime.context(), upstreamLimits(m_settings))
    , m_telemetry({ m_settings.id }, m_clock,
          withQuotaMetrics(
              { { "upstream_connections_total", Metrics::CallbackMetric::Type::Counter,
                    [this] { return m_upstreamClient.openedConnections(); } },
                  { "answer_buffers_highest_bytes", Metrics::CallbackMetric::Type::Gauge,
                      [this] { return m_answerBuffers->highest().value(); } },
                  { "heartbeats_malformed_total", Metrics::CallbackMetric::Type::Counter,
                      [this] { return m_datagrams.malformedCount(); } },
                  { "event_delay_highest_ms", Metrics::CallbackMetric::Type::Gauge,
                      [this] { return static_cast<std::uint64_t>(m_entryVm.delays().highestDelay().count()); } },
                  { "store_read_directly", Metrics::CallbackMetric::Type::Gauge,
                      [this] { return static_cast<std::uint64_t>(m_entryVm.sharedReads().isReadingStore()); } },
                  { "store_copy_age_ms", Metrics::CallbackMetric::Type::Gauge, [this] { return storeCopyAge(); } },
                  { "store_lists_total", Metrics::CallbackMetric::Type::Counter,
                      [this] { return m_entryVm.storeReads().lists; } },
                  { "store_lists_unapplied_total", Metrics::CallbackMetric::Type::Counter,
                      [this] { return m_entryVm.storeReads().unappliedLists; } },
                  { "store_histories_lost_total", Metrics::CallbackMetric::Type::Counter,
                      [this] { return m_entryVm.storeReads().lostHistories; } },
                  { "store_era", Metrics::CallbackMetric::Type::Gauge,
                      [this] { return m_entryVm.storeEra().value(); } },
                  { "quarantined_requests", Metrics::CallbackMetric::Type::Gauge,
                      [this] { return static_cast<std::uint64_t>(m_entryVm.quarantineSync().requests()); } },
                  { "quarantine_pages_fetched_total", Metrics::CallbackMetric::Type::Counter,
                      [this] { return m_entryVm.quarantineSync().counts().fetched; } },
                  { "quarantine_pages_sent_total", Metrics::CallbackMetric::Type::Counter,
                      [this] { return m_entryVm.quarantineSync().counts().served; } },
                  { "store_polls_held", Metrics::CallbackMetric::Type::Gauge,
                      [this] { return static_cast<std::uint64_t>(m_entryVm.mirrorHost()->waiting()); } } },
              [this]() -> const Quotas::FleetQuotas& { return m_entryVm.quotas(); }))
    , m_store(platform.makeStore(m_storeClient))
    , m_datagrams(m_runtime.context(), m_settings.heartbeats)
    , m_peers(m_runtime.context(), m_peerTraffic)
    , m_mirrorPeer(m_peers)
    , m_crashReportPeer(m_peers)
    , m_quarantinePeer(m_peers)
    , m_noticePeer(m_peers)
    , m_quotaPeer(m_peers)
    , m_exchanges(m_upstreamClient, platform.headerNames())
    , m_entryVm(m_settings, placement,
          { m_clock, m_runtime, m_random, m_telemetry.events(), m_telemetry.metrics(), platform.codec(), *m_store,
              m_exchanges, m_datagrams, m_mirrorPeer, m_crashReportPeer, m_quarantinePeer, m_noticePeer, m_quotaPeer,
              [this](const Forwarding::CallerLimits& limits) {
                  m_frontServer.setLimits(callerLimits(m_settings, limits));
              },
              { m_answerBuffers, HttpClient::streamMemory } })
    , m_front(m_entryVm.forwarder(), platform.headerNames())
    , m_readiness(platform.makeReadinessHandler([this] { return m_entryVm.isReady(); }))
    , m_lookup(platform.makeLookupHandler([this] { return lookupReply(); }))
    , m_frontServer(m_runtime.context(), m_settings.front, m_front, callerLimits(m_settings, {}))
    , m_readinessServer(m_runtime.context(), m_settings.readiness, *m_readiness)
    , m_lookupServer(m_runtime.context(), m_settings.lookup, *m_lookup)
    , m_adminServer(m_runtime.context(), m_settings.metrics, m_telemetry.admin())
    , m_peerServer(m_runtime.context(), m_settings.peers, m_peerHandlers, m_peerTraffic)
{
}

ForwardingProcess::~ForwardingProcess() = default;

auto ForwardingProcess::run() -> void
{
    m_entryVm.recordLifecycle("process.started", "listening on " + m_settings.front.value());
    m_signals.start([this](int signal, Core::Instant deliveredAt) { handleSignal(signal, deliveredAt); });
    registerPeerHandlers();
    m_datagrams.start([this](const EntryFleet::Heartbeat& heartbeat) { m_entryVm.fleet().receive(heartbeat); });
    m_entryVm.start();
    scheduleIdlePeerClosing();
    m_runtime.run([this](const std::string& problem) { m_entryVm.recordLifecycle("process.task-failed", problem); });
}

auto ForwardingProcess::registerPeerHandlers() -> void
{
    MirrorPeer::registerMirrorHandler(m_peerHandlers, m_entryVm.mirrorHost());
    CrashReportPeer::registerCrashReportHandler(m_peerHandlers,
        [this](const Dispatch::CrashReport& crashReport) { m_entryVm.forwarder().crashGuard().accept(crashReport); });
    CrashReportPeer::registerQuarantineHandler(
        m_peerHandlers, [this](const auto& after) { return m_entryVm.quarantineSync().page(after); });
    NoticePeer::registerNoticeHandler(
        m_peerHandlers, [this](const Forwarding::UpstreamNotices& notices) { m_entryVm.forwarder().accept(notices); });
    QuotaPeer::registerPermitHandler(
        m_peerHandlers, [this](const Quotas::PermitMessage& message) { return m_entryVm.quotas().receive(message); });
}

auto ForwardingProcess::storeCopyAge() const -> std::uint64_t
{
    const auto age = m_entryVm.sharedReads().contact().age.value_or(Core::Duration(0));
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Core::Millis>(age).count());
}

auto ForwardingProcess::lookupReply() const -> LookupReply
{
    return { m_entryVm.callerAddresses(), m_settings.lookupLifetime };
}

auto ForwardingProcess::scheduleIdlePeerClosing() -> void
{
    m_idlePeerTimer = m_runtime.after(idlePeerCloseInterval, [this] {
        m_peers.closeIdleConnections();
        scheduleIdlePeerClosing();
    });
}

auto ForwardingProcess::handleSignal(int signal, Core::Instant deliveredAt) -> void
{
    if (signal == SIGHUP)
        reloadSettings();
    else
        startShutdown(deliveredAt);
}

auto ForwardingProcess::reloadSettings() -> void
{
    const auto settings = m_reload();
    if (!settings)
        m_entryVm.recordLifecycle("settings.refused", describe(settings.error()));
    else
        m_entryVm.recordLifecycle("settings.reloaded", "addresses and limits apply from the next start");
}

auto ForwardingProcess::startShutdown(Core::Instant signalledAt) -> void
{
    if (std::exchange(m_isShuttingDown, true))
        return;
    // The platform kills the process at a fixed time after the signal, however late the signal is handled.
    const auto now = m_clock.now();
    const auto after = [this, now, signalledAt](Core::Millis time, Ports::Scheduler::Task task) {
        return m_runtime.after(std::max<Core::Duration>(signalledAt + time - now, Core::Duration(0)), std::move(task));
    };
    const auto timeToAnswer = std::max(m_settings.stopTimeout - shutdownMargin, Core::Millis(0));
    const auto delay = std::chrono::duration_cast<Core::Millis>(now - signalledAt);
    m_entryVm.recordLifecycle(
        "process.stopping", describeOpenRequests() + ", " + std::to_string(delay.count()) + " ms after the signal");
    m_entryVm.leave(signalledAt + timeToAnswer);
    m_frontServer.startDraining();
    m_lookupServer.startDraining();
    m_closeFrontTimer = after(std::min(drainTime, timeToAnswer), [this] { closeFront(); });
    m_abortTimer = after(timeToAnswer + shutdownMargin / 2,
        [this] { stop(std::to_string(m_frontServer.openRequests()) + " requests were aborted"); });
}

auto ForwardingProcess::closeFront() -> void
{
    m_entryVm.recordLifecycle("process.front-closed", describeOpenRequests());
    m_frontServer.shutDown([this] { closeLookup(); });
}

auto ForwardingProcess::closeLookup() -> void
{
    m_lookupServer.shutDown([this] { stop("all requests were answered"); });
}

auto ForwardingProcess::stop(const std::string& detail) -> void
{
    m_entryVm.recordLifecycle("process.stopped", detail);
    m_runtime.stop();
}

auto ForwardingProcess::describeOpenRequests() const -> std::string
{
    return std::to_string(m_frontServer.openRequests()) + " open requests";
}

} // namespace App
