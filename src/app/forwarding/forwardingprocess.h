#pragma once

#include "app/forwarding/hostobservation.h"
#include "app/forwarding/platformadapter.h"
#include "datagrampeer/datagrampeer.h"
#include "forwardinghost/hostsettings.h"
#include "forwardinghost/listeners.h"
#include "httpforward/forwardfront.h"
#include "httpforward/httpexchangeclient.h"
#include "mirrorpeer/mirrorpeer.h"
#include "peerstream/peerstreamclient.h"
#include "peerstream/peerstreamserver.h"
#include "runtime/asioruntime.h"
#include "suspicionpeer/suspicionpeer.h"

#include <atomic>
#include <boost/asio/signal_set.hpp>

namespace App {

/// Owns and connects everything that runs in a process that forwards requests as they come.
class ForwardingProcess : public Following::StoreListener {
public:
    using ReadSettings = std::function<Core::Result<ForwardingHost::HostSettings>()>;

    ForwardingProcess(ForwardingHost::HostSettings settings, const Forwarding::PlacementSettings& placement,
        const PlatformAdapter& platform, ReadSettings reload);
    ~ForwardingProcess() override;

    /// Serves until a signal asks for a graceful shutdown that has ended.
    auto run() -> void;

    auto storeLost() -> void override;
    auto storeRegained() -> void override;

private:
    [[nodiscard]] auto isReady() const -> bool;
    [[nodiscard]] auto directions() const -> CallerDirections;
    auto applyConfiguration(const std::shared_ptr<const Forwarding::RoutingConfiguration>& configuration) -> void;
    auto applyRetryAllowance() -> void;
    auto startFollowing() -> void;
    auto registerSelf() -> void;
    auto registerPeerHandlers() -> void;
    /// Entry VMs to ask when the store does not answer.
    [[nodiscard]] auto peersToAsk() const -> std::vector<Core::Address>;
    auto announceSuspicion(const Dispatch::CrashSuspicion& suspicion) -> void;
    auto awaitSignal() -> void;
    auto reloadSettings() -> void;
    auto scheduleHousekeeping() -> void;
    auto startStop() -> void;
    /// Ends the process when nothing is left to do, or when the time is up.
    auto continueStop() -> void;
    auto recordLifecycle(const char* kind, const std::string& detail) -> void;

    const ForwardingHost::HostSettings m_settings;
    const PlatformAdapter& m_platform;
    const ReadSettings m_reload;
    Runtime::SystemClock m_clock;
    Runtime::SystemRandom m_random;
    Runtime::AsioRuntime m_runtime;
    HttpClient::Client m_storeClient;
    HttpClient::Client m_upstreamClient;
    HostObservation m_observation;
    std::unique_ptr<Ports::CollectionStore> m_store;
    const EntryFleet::EntryVmEntry m_self;
    DatagramPeer::DatagramPeer m_datagrams;
    PeerStream::Traffic m_peerTraffic;
    PeerStream::PeerStreamClient m_peers;
    PeerStream::HandlerTable m_peerHandlers;
    MirrorPeer::MirrorPeer m_mirrorPeer;
    SuspicionPeer::SuspicionPeer m_suspicionPeer;
    EntryFleet::EntryFleet m_fleet;
    HttpForward::HttpExchangeClient m_exchanges;
    Forwarding::Forwarder m_forwarder;
    std::mutex m_listMutex;
    Forwarding::UpstreamEntries m_upstreams;
    Forwarding::EvacuatedDomains m_evacuated;
    Forwarding::UpstreamRegistry m_registry;
    ForwardingHost::ConfigurationListener m_configurationListener;
    ForwardingHost::UpstreamListener m_upstreamListener;
    ForwardingHost::EvacuationListener m_evacuationListener;
    ForwardingHost::EntryVmListener m_entryVmListener;
    std::vector<std::shared_ptr<Following::CollectionFollower>> m_followers;
    Following::CollectionMirror m_mirror;
    std::shared_ptr<Following::StoreWatchdog> m_watchdog;
    std::shared_ptr<Following::PeerRefresh> m_peerRefresh;
    HttpForward::ForwardFront m_front;
    std::unique_ptr<HttpServer::HttpHandler> m_readiness;
    std::unique_ptr<HttpServer::HttpHandler> m_lookup;
    HttpServer::Server m_frontServer;
    HttpServer::Server m_readinessServer;
    HttpServer::Server m_lookupServer;
    HttpServer::Server m_adminServer;
    PeerStream::PeerStreamServer m_peerServer;
    std::unique_ptr<Ports::Timer> m_housekeeping;
    Core::Instant m_peersClosedAt;
    std::unique_ptr<Ports::Timer> m_registration;
    std::unique_ptr<Ports::Timer> m_stopTimer;
    std::atomic<bool> m_isStopping { false };
    Core::Instant m_stopAt;
    Core::Instant m_stopLatest;
    boost::asio::signal_set m_signals;
};

} // namespace App
