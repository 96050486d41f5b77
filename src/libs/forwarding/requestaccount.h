#pragma once

#include "forwarding/forwardrequest.h"
#include "forwarding/routingconfiguration.h"
#include "forwarding/servicepool.h"
#include "ports/eventsink.h"
#include "ports/metricsink.h"

namespace Forwarding {

/// How the work on a request ended, beside its reply.
struct RequestEnd {
    /// Upstream of the last attempt; empty when the request was sent nowhere.
    std::optional<Choice> last;
    std::size_t attempts = 0;
    Core::Duration latency {};
};

/// Tells log and metrics what became of one request, with the inputs that decided it.
class RequestAccount {
public:
    /// The request must outlive the account.
    RequestAccount(const ForwardRequest& request, Ports::EventSink& events, Ports::MetricSink& metrics);

    /// The request has found its route and service under the configuration of this version.
    auto recordStart(RoutePointer route, const Core::ServiceId& service, Core::Version configuration) -> void;
    auto recordExchange(const Choice& choice, const Ports::ExchangeResult& result, Core::Duration duration) -> void;
    auto recordEnd(const ForwardReply& reply, const RequestEnd& end) -> void;

private:
    [[nodiscard]] auto fieldsOf(const RequestEnd& end) const -> std::vector<Ports::EventField>;
    auto countEnd(const ForwardRefusal* refusal, Core::Duration latency) -> void;

    const ForwardRequest& m_request;
    Ports::EventSink& m_events;
    Ports::MetricSink& m_metrics;
    RoutePointer m_route;
    Core::ServiceId m_service;
    Core::Version m_configuration;
};

} // namespace Forwarding
