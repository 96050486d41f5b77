#pragma once

#include "app/forwarding/platformadapter.h"
#include "app/forwarding/processtelemetry.h"
#include "crashreportpeer/crashreportpeer.h"
#include "crashreportpeer/quarantinepeer.h"
#include "datagrampeer/datagrampeer.h"
#include "forwardinghost/entryvm.h"
#include "httpforward/forwardfront.h"
#include "httpforward/httpexchangeclient.h"
#include "mirrorpeer/mirrorpeer.h"
#include "noticepeer/noticepeer.h"
#include "peerstream/peerstreamclient.h"
#include "peerstream/peerstreamserver.h"
#include "quotapeer/quotapeer.h"
#include "runtime/asioruntime.h"
#include "runtime/signallistener.h"

namespace App {

/// Owns and connects the components of a process that forwards requests as they arrive.
class ForwardingProcess {
public:
    using ReadSettings = std::function<Core::Result<ForwardingHost::EntryVmSettings>()>;

    ForwardingProcess(ForwardingHost::EntryVmSettings settings, const Forwarding::PlacementSettings& placement,
        const PlatformAdapter& platform, ReadSettings reload);
    ~ForwardingProcess();

    /// Serves until a signal triggers a graceful shutdown. Returns when the shutdown is complete.
    auto run() -> void;

private:
    /// Returns the age of the copies of the store in milliseconds; 0 if there are none.
    [[nodiscard]] auto storeCopyAge() const -> std::uint64_t;
    [[nodiscard]] auto lookupReply() const -> LookupReply;
    auto registerPeerHandlers() -> void;
    auto scheduleIdlePeerClosing() -> void;
    auto handleSignal(int signal, Core::Instant deliveredAt) -> void;
    auto reloadSettings() -> void;
    /// `signalledAt` is when the signal that asks for the shutdown was delivered.
    auto startShutdown(Core::Instant signalledAt) -> void;
    /// Takes no more connections of callers. The look-up server follows when the open ones are done, then the process
    /// ends.
    auto closeFront() -> void;
    auto closeLookup() -> void;
    auto stop(const std::string& detail) -> void;
    [[nodiscard]] auto describeOpenRequests() const -> std::string;

    const ForwardingHost::EntryVmSettings m_settings;
    const ReadSettings m_reload;
    Runtime::SystemClock m_clock;
    Runtime::SystemRandom m_random;
    Runtime::AsioRuntime m_runtime;
    Runtime::SignalListener m_signals;
    const std::shared_ptr<Core::BufferAccount> m_answerBuffers;
    HttpClient::Client m_storeClient;
    HttpClient::Client m_upstreamClient;
    ProcessTelemetry m_telemetry;
    std::unique_ptr<Ports::CollectionStore> m_store;
    DatagramPeer::DatagramPeer m_datagrams;
    PeerStream::TrafficCounters m_peerTraffic;
    PeerStream::PeerStreamClient m_peers;
    PeerStream::HandlerTable m_peerHandlers;
    MirrorPeer::MirrorPeer m_mirrorPeer;
    CrashReportPeer::CrashReportPeer m_crashReportPeer;
    CrashReportPeer::QuarantinePeer m_quarantinePeer;
    NoticePeer::NoticePeer m_noticePeer;
    QuotaPeer::QuotaPeer m_quotaPeer;
    HttpForward::HttpExchangeClient m_exchanges;
    ForwardingHost::EntryVm m_entryVm;
    HttpForward::ForwardFront m_front;
    std::unique_ptr<HttpServer::HttpHandler> m_readiness;
    std::unique_ptr<HttpServer::HttpHandler> m_lookup;
    HttpServer::Server m_frontServer;
    HttpServer::Server m_readinessServer;
    HttpServer::Server m_lookupServer;
    HttpServer::Server m_adminServer;
    PeerStream::PeerStreamServer m_peerServer;
    std::unique_ptr<Ports::Timer> m_idlePeerTimer;
    std::unique_ptr<Ports::Timer> m_closeFrontTimer;
    std::unique_ptr<Ports::Timer> m_abortTimer;
    bool m_isShuttingDown = false;
};

} // namespace App
