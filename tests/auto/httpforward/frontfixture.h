#pragma once

#include "exchangefixture.h"
#include "httpforward/forwardfront.h"
#include "standins/rawconnection.h"
#include "support/runtimethread.h"

namespace HttpForwardTest {

class NullEventSink : public Ports::EventSink {
public:
    auto record(Ports::Event) -> void override { }
};

class NullMetrics : public Ports::MetricSink {
public:
    auto requestStarted(const Core::ServiceId&) -> void override { }
    auto requestEnded(const Ports::RequestMetric&) -> void override { }
    auto upstreamEnded(const Core::ServiceId&, Ports::UpstreamOutcome) -> void override { }
};

class SingleEntryVm : public Forwarding::EntryVmView {
public:
    [[nodiscard]] auto isOwner(const Forwarding::UpstreamEntry&) const -> bool override { return true; }
    [[nodiscard]] auto regionalCount() const -> std::size_t override { return 1; }
};

inline auto smallLimits() -> HttpServer::Limits
{
    HttpServer::Limits limits;
    limits.maximumHeader = Core::Bytes(2048);
    limits.maximumBody = Core::Bytes(4096);
    limits.headerTimeout = Core::Millis(300);
    limits.idleTimeout = Core::Millis(2000);
    limits.maximumConnections = 16;
    limits.maximumBodyTotal = Core::Bytes(6000);
    return limits;
}

struct ForwardFrontFixture {
    static constexpr std::size_t threadCount = 2;

    explicit ForwardFrontFixture(
        const HttpServer::Limits& limits = smallLimits(), const Forwarding::BufferSettings& answerBuffers = {})
        : buffers(answerBuffers)
        , forwarder({ clock, runtime, random, exchanges, events, metrics, { {}, entryVms, {} },
              std::make_shared<Quotas::UnlimitedQuotas>(), buffers })
        , server(runtime.context(), Core::Address("127.0.0.1:0"), front, limits)
    {
    }
    /// Serves one route, to callers with the key of an organisation only if one is named.
    auto serve(const ScriptedUpstream& upstream, const std::string& organisation = {}) -> void
    {
        serve(upstream.address(), stockRoute(), Core::SlotCount(4), organisation);
    }

    static auto stockRoute() -> Forwarding::Route
    {
        Forwarding::Route route;
        route.host = "desk.example";
        route.pathPrefix = "/stock/";
        route.services = { { Core::ServiceId("stock"), 1 } };
        route.isIdempotent = true;
        route.timeout = Core::Millis(1000);
        route.targetLatency = Core::Millis(400);
        return route;
    }

    auto serve(const Core::Address& upstream, const Forwarding::Route& route,
        Core::SlotCount slots = Core::SlotCount(4), const std::string& organisation = {}) -> void
    {
        auto configuration = std::make_shared<Forwarding::RoutingConfiguration>();
        configuration->routes.add(route);
        configuration->services[Core::ServiceId("stock")] = { "/health", {}, 0 };
        if (!organisation.empty()) {
            Organisations::Organisation added;
            added.id = Core::OrganisationId(organisation);
            (void)configuration->organisations.add(added, { Organisations::ApiKey("secret") });
        }
        forwarder.setConfiguration(configuration);
        Forwarding::UpstreamEntry entry;
        entry.target = { Core::UpstreamId("u1"), Core::ProcessStartId(1), upstream };
        entry.service = Core::ServiceId("stock");
        entry.slots = slots;
        forwarder.setUpstreams({ { entry.target.id, entry } }, {});
    }

    auto exchange(const std::string& bytes) -> std::string
    {
        StandIns::RawConnection connection(server.port());
        connection.send(bytes);
        return connection.readUntil("\r\n\r\n");
    }

    Runtime::SystemClock clock;
    Runtime::SystemRandom random;
    Runtime::AsioRuntime runtime { threadCount };
    HttpClient::Client client { runtime.context() };
    HttpForward::HttpExchangeClient exchanges { client, names() };
    NullEventSink events;
    NullMetrics metrics;
    SingleEntryVm entryVms;
    const Forwarding::BufferSettings buffers;
    Forwarding::Forwarder forwarder;
    HttpForward::ForwardFront front { forwarder, names() };
    HttpServer::Server server;
    TestSupport::RuntimeThread thread { runtime };
};

} // namespace HttpForwardTest
