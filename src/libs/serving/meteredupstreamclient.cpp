#include "serving/meteredupstreamclient.h"

namespace Serving {

MeteredUpstreamClient::MeteredUpstreamClient(Ports::UpstreamClient& client, Ports::MetricSink& metrics)
    : m_client(client)
    , m_metrics(metrics)
{
}

auto MeteredUpstreamClient::send(Ports::UpstreamCall call, ResultCallback callback) -> void
{
    auto service = call.request.service;
    m_client.send(std::move(call),
        [this, service = std::move(service), callback = std::move(callback)](Ports::UpstreamResult result) {
            m_metrics.upstreamEnded(service, result.outcome);
            callback(std::move(result));
        });
}

auto MeteredUpstreamClient::queryLoad(const Core::Address& address, LoadCallback callback) -> void
{
    m_client.queryLoad(address, std::move(callback));
}

auto MeteredUpstreamClient::cancel(const Core::Address& address, const Core::RequestId& id, CancelCallback callback)
    -> void
{
    m_client.cancel(address, id, std::move(callback));
}

} // namespace Serving
