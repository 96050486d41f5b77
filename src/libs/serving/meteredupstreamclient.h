#pragma once

#include "ports/metricsink.h"
#include "ports/upstreamclient.h"

namespace Serving {

/// Decorator that counts the outcomes of the calls it forwards to another upstream client.
class MeteredUpstreamClient : public Ports::UpstreamClient {
public:
    MeteredUpstreamClient(Ports::UpstreamClient& client, Ports::MetricSink& metrics);

    auto send(Ports::UpstreamCall call, ResultCallback callback) -> void override;
    auto queryLoad(const Core::Address& address, LoadCallback callback) -> void override;
    auto cancel(const Core::Address& address, const Core::RequestId& id, CancelCallback callback) -> void override;

private:
    Ports::UpstreamClient& m_client;
    Ports::MetricSink& m_metrics;
};

} // namespace Serving
