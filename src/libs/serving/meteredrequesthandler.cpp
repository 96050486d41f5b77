#include "serving/meteredrequesthandler.h"

namespace Serving {

namespace {

    const Core::ServiceId unknownService { "unknown" };

    auto complete(Ports::RequestMetric metric, const Core::Reply& reply) -> Ports::RequestMetric
    {
        if (const auto* refusal = std::get_if<Core::Refusal>(&reply)) {
            metric.refusal = refusal->reason;
            metric.outcome = refusal->outcome;
        }
        return metric;
    }

} // namespace

MeteredRequestHandler::MeteredRequestHandler(Collaborators collaborators)
    : m_collaborators(collaborators)
{
}

auto MeteredRequestHandler::lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer>
{
    return m_collaborators.handler.lookup(query);
}

auto MeteredRequestHandler::handle(Core::ServiceRequest request, Core::ReplyCallback callback) -> void
{
    Ports::RequestMetric metric { unknownService, Core::Rank::Normal, {}, {}, Core::RunOutcome::NotRun };
    const auto configuration = m_collaborators.configuration.current();
    if (const auto* policy = configuration->find(request.service)) {
        metric.service = policy->service;
        metric.rank = policy->rank;
    }
    m_collaborators.metrics.requestStarted(metric.service);
    const auto started = m_collaborators.clock.now();
    m_collaborators.handler.handle(std::move(request),
        [this, started, metric = std::move(metric), callback = std::move(callback)](Core::Reply reply) mutable {
            metric.latency = m_collaborators.clock.now() - started;
            m_collaborators.metrics.requestEnded(complete(std::move(metric), reply));
            callback(std::move(reply));
        });
}

} // namespace Serving
