#pragma once

#include "app/entryvmtelemetry.h"
#include "app/fleetstate.h"
#include "app/servesettings.h"
#include "clientblocks/jsonclientblocks.h"
#include "configuration/configurationholder.h"
#include "crashreportpeer/crashreportpeer.h"
#include "dispatch/rankeddispatcher.h"
#include "fleet/fleetholder.h"
#include "httpclient/httpclient.h"
#include "httpfront/httpfront.h"
#include "httpserver/httpserver.h"
#include "httpstatus/statushandler.h"
#include "httpstore/httpobjectstore.h"
#include "httpupstream/httpupstreamclient.h"
#include "ledger/bookingsystem.h"
#include "ledgerpeer/ledgerpeer.h"
#include "peerstream/peerstreamclient.h"
#include "peerstream/peerstreamserver.h"
#include "relaypeer/relaypeer.h"
#include "runtime/asioruntime.h"
#include "serving/meteredrequesthandler.h"
#include "serving/meteredupstreamclient.h"
#include "serving/requestservice.h"
#include "steering/steeringsystem.h"

#include <boost/asio/signal_set.hpp>

namespace App {

/// Owns and connects the components of the process of one entry VM.
class EntryVmProcess {
public:
    explicit EntryVmProcess(const ServeSettings& settings);
    ~EntryVmProcess();

    /// Serves until a signal triggers a graceful shutdown. Returns when the shutdown is complete.
    auto run() -> void;

private:
    auto scheduleHousekeeping() -> void;
    /// Starts a planned stop: removes this VM from look-up answers, and keeps serving until the answers given
    /// earlier have expired.
    auto leave() -> void;
    /// Completes a planned stop: refuses new requests, completes those in flight, and hands the ledger over.
    auto shutDown() -> void;

    const ServeSettings m_settings;
    Runtime::SystemClock m_clock;
    Runtime::SystemRandom m_random;
    Runtime::AsioRuntime m_runtime;
    Configuration::ConfigurationHolder m_configuration;
    PeerStream::TrafficCounters m_peerTraffic;
    EntryVmTelemetry m_telemetry;
    Ports::EventSink& m_events;
    HttpClient::Client m_client;
    HttpStore::HttpObjectStore m_store;
    HttpUpstream::HttpUpstreamClient m_upstreams;
    Serving::MeteredUpstreamClient m_meteredUpstreams;
    PeerStream::PeerStreamClient m_peers;
    PeerStream::HandlerTable m_peerHandlers;
    Fleet::FleetHolder m_fleet;
    const Core::Incarnation m_incarnation { m_random.next(), m_random.next() };
    FleetState m_fleetState;
    Dispatch::RankedDispatcher m_dispatcher;
    CrashReportPeer::CrashReportPeer m_crashReportPeer;
    CrashReports::CrashReportGossip m_crashReportGossip;
    RelayPeer::RelayPeer m_relayPeer;
    ClientBlocks::JsonClientBlocks m_clientBlocks;
    Steering::SteeringSystem m_steering;
    LedgerPeer::LedgerPeerClient m_ledgerPeers;
    Ledger::BookingSystem m_bookings;
    Serving::RequestService m_requests;
    Serving::MeteredRequestHandler m_meteredRequests;
    HttpFront::HttpFront m_front;
    HttpStatus::StatusHandler m_statusHandler;
    HttpServer::PathRouter m_paths;
    HttpServer::Server m_server;
    std::unique_ptr<HttpServer::Server> m_adminServer;
    PeerStream::PeerStreamServer m_peerServer;
    std::unique_ptr<Ports::Timer> m_housekeeping;
    const Core::Millis m_leaveLimit;
    std::unique_ptr<Ports::Timer> m_leaveTimer;
    boost::asio::signal_set m_signals;
};

} // namespace App
