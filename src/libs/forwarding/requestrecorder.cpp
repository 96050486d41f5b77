#include "forwarding/requestrecorder.h"

namespace Forwarding {

namespace {

    using Ports::ExchangeOutcome;

    auto rankOf(int priority) -> Core::Rank
    {
        if (priority <= 0)
            return Core::Rank::Urgent;
        return priority == 1 ? Core::Rank::Normal : Core::Rank::Deferrable;
    }

    auto metricOutcome(ExchangeOutcome outcome) -> Ports::UpstreamOutcome
    {
        switch (outcome) {
        case ExchangeOutcome::Answered:
            return Ports::UpstreamOutcome::Answered;
        case ExchangeOutcome::NotRun:
            return Ports::UpstreamOutcome::Shed;
        case ExchangeOutcome::Misdirected:
        case ExchangeOutcome::Withdrawn:
        case ExchangeOutcome::OwnShortage:
        case ExchangeOutcome::NotSent:
            return Ports::UpstreamOutcome::NotSent;
        case ExchangeOutcome::Lost:
        case ExchangeOutcome::Cancelled:
            return Ports::UpstreamOutcome::Lost;
        case ExchangeOutcome::TimedOut:
            return Ports::UpstreamOutcome::TimedOut;
        case ExchangeOutcome::Invalid:
            break;
        }
        return Ports::UpstreamOutcome::Invalid;
    }

    auto millis(Core::Duration duration) -> std::string
    {
        return std::to_string(std::chrono::duration_cast<Core::Millis>(duration).count());
    }

    auto append(std::vector<Ports::EventField>& fields, std::vector<Ports::EventField> more) -> void
    {
        fields.insert(fields.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    }

} // namespace

RequestRecorder::RequestRecorder(const ForwardRequest& request, Ports::EventSink& events, Ports::MetricSink& metrics)
    : m_request(request)
    , m_events(events)
    , m_metrics(metrics)
{
}

auto RequestRecorder::recordStart(RoutePointer route, const Core::ServiceId& service, Core::Version configuration,
    Organisations::OrganisationPointer organisation) -> void
{
    m_organisation = std::move(organisation);
    m_route = std::move(route);
    m_service = service;
    m_configuration = configuration;
    m_metrics.requestStarted(m_service);
}

auto RequestRecorder::recordExchange(const Choice& choice, const Ports::ExchangeResult& result, Core::Duration duration)
    -> void
{
    m_metrics.upstreamEnded(m_service, metricOutcome(result.outcome));
    if (result.outcome == ExchangeOutcome::Answered)
        return;
    m_events.record({ Ports::EventKind("exchange.failed"), m_request.id,
        { { "upstream", choice.target.id.value() }, { "service", m_service.value() },
            { "outcome", toString(result.outcome) }, { "detail", result.detail },
            { "reused", result.reusedConnection ? "yes" : "no" }, { "tookMs", millis(duration) },
            { "predictedMs", millis(choice.predicted) },
            { "unacknowledgedBytes", std::to_string(result.unacknowledged.value()) } } });
}

auto RequestRecorder::recordSilence(const Choice& silent, const std::string& hedge) -> void
{
    m_events.record({ Ports::EventKind("upstream.silent"), m_request.id,
        { { "upstream", silent.target.id.value() }, { "service", m_service.value() },
            { "predictedMs", millis(silent.predicted) }, { "hedge", hedge } } });
}

auto RequestRecorder::recordSignals(const Ports::UpstreamTarget& target, const Ports::UpstreamSignals& news) -> void
{
    if (!news.isLeaving && news.pause.count() == 0)
        return;
    m_events.record({ Ports::EventKind(news.isLeaving ? "upstream.leaving" : "upstream.paused"), m_request.id,
        { { "upstream", target.id.value() }, { "start", std::to_string(target.start.value()) },
            { "service", m_service.value() }, { "pauseMs", millis(news.pause) } } });
}

auto RequestRecorder::fieldsOf(const RequestEnd& end) const -> std::vector<Ports::EventField>
{
    std::vector<Ports::EventField> fields;
    if (m_route) {
        fields = { { "route", m_route->id.value() }, { "service", m_service.value() },
            { "configuration", std::to_string(m_configuration.value()) } };
    } else {
        fields = { { "host", m_request.host }, { "path", m_request.path } };
    }
    if (m_organisation)
        append(fields, { { "organisation", m_organisation->id.value() } });
    append(fields, { { "object", m_request.object.value() }, { "tookMs", millis(end.latency) } });
    if (const auto origin = m_request.caller ? m_request.caller->origin() : std::nullopt) {
        append(fields,
            { { "connection", std::to_string(origin->connection.value()) },
                { "requestNumber", std::to_string(origin->request.value()) } });
    }
    if (!end.last)
        return fields;
    append(fields,
        { { "upstream", end.last->target.id.value() }, { "failureDomain", end.last->failureDomain.value() },
            { "attempts", std::to_string(end.attempts) },
            { "warm", end.last->cacheState == CacheState::Warm ? "yes" : "no" },
            { "occupancy", std::to_string(end.last->occupancy).substr(0, 4) },
            { "predictedMs", millis(end.last->predicted) } });
    return fields;
}

auto RequestRecorder::recordEnd(const ForwardReply& reply, const RequestEnd& end) -> void
{
    const auto* refusal = std::get_if<ForwardRefusal>(&reply);
    auto fields = fieldsOf(end);
    if (refusal != nullptr) {
        append(fields,
            { { "reason", toString(refusal->reason) }, { "outcome", toString(refusal->outcome) },
                { "detail", refusal->message }, { "retryAfterMs", millis(refusal->retryAfter) } });
    }
    const auto* kind = refusal == nullptr ? "request.forwarded" : "request.refused";
    m_events.record({ Ports::EventKind(kind), m_request.id, std::move(fields) });
    if (m_route)
        countEnd(refusal, end.latency);
}

auto RequestRecorder::countEnd(const ForwardRefusal* refusal, Core::Duration latency) -> void
{
    Ports::RequestMetric metric { m_service, rankOf(m_route->priority), latency, std::nullopt,
        Core::RunOutcome::NotRun };
    if (refusal != nullptr) {
        metric.refusal = refusal->reason;
        metric.outcome = refusal->outcome;
    }
    m_metrics.requestEnded(metric);
}

} // namespace Forwarding
