#include "support/simulatedupstreams.h"

#include <algorithm>

namespace TestSupport {

namespace {

    using Ports::UpstreamOutcome;

    constexpr Core::Millis defaultServiceTime { 20 };

    /// The address of a simulated endpoint is its name.
    auto endpointAt(const Core::Address& address) -> Core::UpstreamId { return Core::UpstreamId(address.value()); }

} // namespace

SimulatedUpstreams::SimulatedUpstreams(VirtualTime& time, std::uint64_t seed, Core::Duration oneWayDelay)
    : m_time(time)
    , m_random(seed)
    , m_oneWayDelay(oneWayDelay)
{
}

auto SimulatedUpstreams::setServiceTime(const Core::ServiceId& service, Core::Duration mean) -> void
{
    m_serviceTimes[service] = mean;
}

auto SimulatedUpstreams::records() const -> std::map<Core::UpstreamId, SimulatedRecord>
{
    std::map<Core::UpstreamId, SimulatedRecord> records;
    for (const auto& [id, endpoint] : m_endpoints)
        records[id] = endpoint.record;
    return records;
}

auto SimulatedUpstreams::send(Ports::UpstreamCall call, ResultCallback callback) -> void
{
    const auto exchange = std::make_shared<Exchange>(Exchange { std::move(call), std::move(callback) });
    auto& record = m_endpoints[exchange->call.upstream].record;
    record.highestInFlight = std::max(record.highestInFlight, ++record.inFlight);
    m_time.schedule(m_oneWayDelay, [this, exchange] { arrive(exchange); });
    m_time.schedule(
        exchange->call.request.deadline - m_time.now(), [this, exchange] { end(exchange, UpstreamOutcome::TimedOut); });
}

auto SimulatedUpstreams::queryLoad(const Core::Address& address, LoadCallback callback) -> void
{
    m_time.schedule(2 * m_oneWayDelay, [this, address, callback = std::move(callback)] {
        const auto& endpoint = m_endpoints[endpointAt(address)];
        const auto& behaviour = endpoint.behaviour;
        if (behaviour.isDown || !behaviour.answersQueries) {
            callback(Core::fail(Core::ErrorKind::Unreachable, "no answer", "start it"));
            return;
        }
        const Ports::LoadReport truth { Core::SlotCount(behaviour.slots),
            Core::SlotCount(static_cast<std::uint32_t>(endpoint.running.size())), behaviour.isDraining };
        callback(behaviour.falseReport.value_or(truth));
    });
}

auto SimulatedUpstreams::cancel(const Core::Address& address, const Core::RequestId& id, CancelCallback callback)
    -> void
{
    m_time.schedule(2 * m_oneWayDelay, [this, address, id, callback = std::move(callback)] {
        auto& waiting = m_endpoints[endpointAt(address)].waiting;
        const auto found = std::find_if(
            waiting.begin(), waiting.end(), [&](const auto& exchange) { return exchange->call.request.id == id; });
        const bool isWaiting = found != waiting.end();
        if (isWaiting)
            waiting.erase(found);
        callback(isWaiting ? Ports::CancelOutcome::CancelledBeforeStart : Ports::CancelOutcome::NotCancelled);
    });
}

auto SimulatedUpstreams::arrive(const ExchangePointer& exchange) -> void
{
    auto& endpoint = m_endpoints[exchange->call.upstream];
    const auto& behaviour = endpoint.behaviour;
    ++endpoint.record.arrivals;
    if (behaviour.isDown) {
        end(exchange, UpstreamOutcome::NotSent);
        return;
    }
    if (behaviour.isDraining || behaviour.shedsAll || endpoint.waiting.size() >= behaviour.queue) {
        m_time.schedule(m_oneWayDelay, [this, exchange] { end(exchange, UpstreamOutcome::Shed); });
        return;
    }
    endpoint.waiting.push_back(exchange);
    startWaiting(endpoint);
}

auto SimulatedUpstreams::startWaiting(SimulatedEndpoint& endpoint) -> void
{
    while (!endpoint.waiting.empty() && endpoint.running.size() < endpoint.behaviour.slots) {
        const auto exchange = endpoint.waiting.front();
        endpoint.waiting.pop_front();
        if (exchange->call.request.deadline > m_time.now())
            run(endpoint, exchange);
    }
}

auto SimulatedUpstreams::run(SimulatedEndpoint& endpoint, const ExchangePointer& exchange) -> void
{
    const auto& request = exchange->call.request;
    ++m_runs[request.id];
    if (!m_crashOn.empty() && request.body.find(m_crashOn) != std::string::npos) {
        endpoint.running[request.id] = exchange;
        crash(endpoint);
        return;
    }
    endpoint.running[request.id] = exchange;
    const auto time = drawServiceTime(request.service);
    endpoint.record.busyTime += time;
    m_time.schedule(time, [this, &endpoint, exchange, incarnation = endpoint.incarnation] {
        if (incarnation == endpoint.incarnation)
            complete(endpoint, exchange);
    });
}

auto SimulatedUpstreams::complete(SimulatedEndpoint& endpoint, const ExchangePointer& exchange) -> void
{
    endpoint.running.erase(exchange->call.request.id);
    if (!endpoint.behaviour.hasUnresponsiveConnections) {
        const auto outcome
            = draw() < endpoint.behaviour.lossProbability ? UpstreamOutcome::Lost : UpstreamOutcome::Answered;
        m_time.schedule(m_oneWayDelay, [this, exchange, outcome] { end(exchange, outcome); });
    }
    startWaiting(endpoint);
}

auto SimulatedUpstreams::crash(SimulatedEndpoint& endpoint) -> void
{
    ++endpoint.record.crashes;
    ++endpoint.incarnation;
    endpoint.behaviour.isDown = true;
    auto lost = std::move(endpoint.waiting);
    endpoint.waiting.clear();
    for (const auto& [id, exchange] : endpoint.running)
        lost.push_back(exchange);
    endpoint.running.clear();
    for (const auto& exchange : lost)
        m_time.schedule(m_oneWayDelay, [this, exchange] { end(exchange, UpstreamOutcome::Lost); });
    m_time.schedule(restartTime, [&endpoint] { endpoint.behaviour.isDown = false; });
}

auto SimulatedUpstreams::end(const ExchangePointer& exchange, UpstreamOutcome outcome) -> void
{
    if (exchange->isEnded)
        return;
    exchange->isEnded = true;
    auto& endpoint = m_endpoints[exchange->call.upstream];
    --endpoint.record.inFlight;
    Ports::UpstreamResult result;
    result.outcome = outcome;
    result.isDraining = endpoint.behaviour.isDraining;
    result.reusedConnection = endpoint.behaviour.hasUnresponsiveConnections;
    if (outcome == UpstreamOutcome::Answered)
        result.answer = { exchange->call.request.id, exchange->call.upstream, 200, {}, exchange->call.request.body };
    if (endpoint.behaviour.misroutesAnswers)
        result.answer.id = Core::RequestId("another request");
    exchange->callback(std::move(result));
}

auto SimulatedUpstreams::drawServiceTime(const Core::ServiceId& service) -> Core::Duration
{
    const auto found = m_serviceTimes.find(service);
    const auto mean = found == m_serviceTimes.end() ? Core::Duration(defaultServiceTime) : found->second;
    return Core::Duration(static_cast<Core::Duration::rep>((0.5 + draw()) * static_cast<double>(mean.count())));
}

auto SimulatedUpstreams::draw() -> double { return std::uniform_real_distribution<double>(0, 1)(m_random); }

} // namespace TestSupport
