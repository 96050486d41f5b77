#pragma once

#include "forwarding/forwarder.h"
#include "support/virtualtime.h"

#include <algorithm>
#include <random>

namespace ForwardingTest {

/// Records events for tests that count them by kind.
class EventRecorder : public Ports::EventSink {
public:
    auto record(Ports::Event event) -> void override { events.push_back(std::move(event)); }
    [[nodiscard]] auto count(const std::string& kind) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(
            events.begin(), events.end(), [&](const Ports::Event& event) { return event.kind.value() == kind; }));
    }

    std::vector<Ports::Event> events;
};

class NullMetrics : public Ports::MetricSink {
public:
    auto requestStarted(const Core::ServiceId&) -> void override { }
    auto requestEnded(const Ports::RequestMetric&) -> void override { }
    auto upstreamEnded(const Core::ServiceId&, Ports::UpstreamOutcome) -> void override { }
};

class SeededRandom : public Ports::RandomSource {
public:
    auto next() -> std::uint64_t override { return m_engine(); }

private:
    std::mt19937_64 m_engine { 1 };
};

/// View of a region with a single entry VM.
class SingleEntryVm : public Forwarding::EntryVmView {
public:
    [[nodiscard]] auto isOwner(const Forwarding::UpstreamEntry&) const -> bool override { return ownsColdUpstreams; }
    [[nodiscard]] auto regionalCount() const -> std::size_t override { return 1; }

    bool ownsColdUpstreams = true;
};

class TextMessage : public Ports::Message {
public:
    explicit TextMessage(std::string content)
        : text(std::move(content))
    {
    }
    const std::string text;
};

/// Body whose parts the test delivers.
class ManualBody : public Ports::BodyStream {
public:
    auto read(PartCallback callback) -> void override { reader = std::move(callback); }
    auto cancel() -> void override { isCancelled = true; }
    auto deliver(const std::string& part) -> void { std::exchange(reader, {})(part); }
    auto breakOff(Core::ErrorKind kind = Core::ErrorKind::Unreachable) -> void
    {
        std::exchange(reader, {})(Core::fail(kind, "connection reset", "retry"));
    }

    PartCallback reader;
    bool isCancelled = false;
};

/// Keeps exchanges open until the test ends them.
class ManualExchangeClient : public Ports::ExchangeClient {
public:
    class ManualExchange : public Ports::Exchange {
    public:
        auto cancel() -> void override { isCancelled = true; }

        Ports::ExchangeCall call;
        ResultCallback callback;
        bool isCancelled = false;
    };

    auto start(Ports::ExchangeCall call, ResultCallback callback) -> std::shared_ptr<Ports::Exchange> override
    {
        auto exchange = std::make_shared<ManualExchange>();
        exchange->call = std::move(call);
        exchange->callback = std::move(callback);
        exchanges.push_back(exchange);
        return exchange;
    }

    auto probeHealth(const Ports::UpstreamTarget& target, const std::string&, HealthCallback callback) -> void override
    {
        ++probes;
        if (isReachable)
            callback(Ports::HealthReport { target.id, true, coldRemaining, std::nullopt });
        else
            callback(Core::fail(Core::ErrorKind::Unreachable, "connection refused", "retry later"));
    }

    auto end(std::size_t index, Ports::ExchangeOutcome outcome, std::uint64_t size = 0) -> void
    {
        Ports::ExchangeResult result;
        result.outcome = outcome;
        result.size = Core::Bytes(size);
        if (outcome == Ports::ExchangeOutcome::Answered)
            result.answer = std::make_shared<TextMessage>("answer");
        exchanges.at(index)->callback(result);
    }

    /// Delivers the head of a large answer, whose body the test goes on to deliver.
    auto deliverHead(std::size_t index) -> std::shared_ptr<ManualBody>
    {
        auto body = std::make_shared<ManualBody>();
        Ports::ExchangeResult result;
        result.outcome = Ports::ExchangeOutcome::Answered;
        result.answer = std::make_shared<TextMessage>("head");
        result.body = body;
        exchanges.at(index)->callback(result);
        return body;
    }

    std::vector<std::shared_ptr<ManualExchange>> exchanges;
    bool isReachable = true;
    Core::Duration coldRemaining {};
    std::size_t probes = 0;
};

inline const Core::ServiceId stock { "stock" };
inline const Forwarding::Location localLocation { Core::FailureDomainId("atl-a"), Core::RegionId("atl") };

inline auto upstream(const std::string& id, const std::string& domain = "atl-a", const std::string& region = "atl")
    -> Forwarding::UpstreamEntry
{
    Forwarding::UpstreamEntry entry;
    entry.target = { Core::UpstreamId(id), Core::ProcessStartId(1), Core::Address("10.0.0.1:80") };
    entry.service = stock;
    entry.failureDomain = Core::FailureDomainId(domain);
    entry.region = Core::RegionId(region);
    entry.slots = Core::SlotCount(4);
    return entry;
}

inline auto byId(const std::vector<Forwarding::UpstreamEntry>& entries) -> Forwarding::UpstreamEntries
{
    Forwarding::UpstreamEntries map;
    for (const auto& entry : entries)
        map[entry.target.id] = entry;
    return map;
}

inline auto stockRoute() -> Forwarding::Route
{
    Forwarding::Route route;
    route.id = Forwarding::RouteId("stock");
    route.host = "desk.example";
    route.pathPrefix = "/stock/";
    route.services = { { stock, 1 } };
    route.isIdempotent = true;
    route.hasObjectAffinity = true;
    route.attempts = 2;
    route.timeout = Core::Millis(2000);
    route.targetLatency = Core::Millis(400);
    return route;
}

inline auto configurationWith(const std::vector<Forwarding::Route>& routes)
    -> std::shared_ptr<const Forwarding::RoutingConfiguration>
{
    auto configuration = std::make_shared<Forwarding::RoutingConfiguration>();
    configuration->version = Core::Version(1);
    for (const auto& route : routes) {
        configuration->routes.add(route);
        for (const auto& part : route.services)
            configuration->services[part.service] = { "/health", Core::Millis(3000), 4 };
    }
    return configuration;
}

} // namespace ForwardingTest
