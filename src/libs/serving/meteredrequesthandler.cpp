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

MeteredRequestHandler::MeteredRequestHandler(Dependencies dependencies)
    : m_dependencies(dependencies)
{
}

auto MeteredRequestHandler::lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer>
{
    return m_dependencies.handler.lookup(query);
}

auto MeteredRequestHandler::handle(Core::ServiceRequest request, Core::ReplyCallback callback) -> void
{
    Ports::RequestMetric metric { unknownService, Core::Rank::Normal, {}, {}, Core::RunOutcome::NotRun };
    const auto configuration = m_dependencies.configuration.current();
    if (const auto* policy = configuration->find(request.service)) {
        metric.service = policy->service;
        metric.rank = policy->rank;
    }
    m_dependencies.metrics.requestStarted(metric.service);
    const auto started = m_dependencies.clock.now();
    m_dependencies.handler.handle(std::move(request),
        [this, started, metric = std::move(metric), callback = std::move(callback)](Core::Reply reply) mutable {
            metric.latency = m_dependencies.clock.now() - started;
            m_dependencies.metrics.requestEnded(complete(std::move(metric), reply));
            callback(std::move(reply));
        });
}

} // namespace Serving
