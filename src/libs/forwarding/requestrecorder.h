#pragma once

#include "forwarding/forwardrequest.h"
#include "forwarding/routingconfiguration.h"
#include "forwarding/servicepool.h"
#include "ports/eventsink.h"
#include "ports/metricsink.h"

namespace Forwarding {

/// Summary of a finished request, in addition to its reply.
struct RequestEnd {
    /// Upstream of the last attempt; empty if the request was not sent.
    std::optional<Choice> last;
    std::size_t attempts = 0;
    Core::Duration latency {};
};

/// Records the events and metrics of one request, with the inputs to its routing decisions.
class RequestRecorder {
public:
    /// The request must outlive the recorder.
    RequestRecorder(const ForwardRequest& request, Ports::EventSink& events, Ports::MetricSink& metrics);

    /// Records the route and service that were selected under the given configuration version.
    auto recordStart(RoutePointer route, const Core::ServiceId& service, Core::Version configuration,
        Organisations::OrganisationPointer organisation) -> void;
    auto recordExchange(const Choice& choice, const Ports::ExchangeResult& result, Core::Duration duration) -> void;
    /// Records that the upstream has not answered for longer than expected, and what became of sending the request to
    /// another one as well.
    auto recordSilence(const Choice& silent, const std::string& hedge) -> void;
    /// Records what an upstream has said of itself for the first time.
    auto recordSignals(const Ports::UpstreamTarget& target, const Ports::UpstreamSignals& news) -> void;
    auto recordEnd(const ForwardReply& reply, const RequestEnd& end) -> void;

private:
    [[nodiscard]] auto fieldsOf(const RequestEnd& end) const -> std::vector<Ports::EventField>;
    auto countEnd(const ForwardRefusal* refusal, Core::Duration latency) -> void;

    const ForwardRequest& m_request;
    Ports::EventSink& m_events;
    Ports::MetricSink& m_metrics;
    RoutePointer m_route;
    /// Null if the caller is not identified.
    Organisations::OrganisationPointer m_organisation;
    Core::ServiceId m_service;
    Core::Version m_configuration;
};

} // namespace Forwarding
