#pragma once

#include "httpclient/httpclient.h"
#include "ports/clock.h"
#include "ports/upstreamclient.h"

namespace HttpUpstream {

/// Calls upstream endpoints over HTTP. The protocol is described in docs/INTERFACES.md.
class HttpUpstreamClient : public Ports::UpstreamClient {
public:
    HttpUpstreamClient(HttpClient::Client& client, const Ports::Clock& clock);

    auto send(Ports::UpstreamCall call, ResultCallback callback) -> void override;
    auto queryLoad(const Core::Address& address, LoadCallback callback) -> void override;
    auto cancel(const Core::Address& address, const Core::RequestId& id, CancelCallback callback) -> void override;

private:
    HttpClient::Client& m_client;
    const Ports::Clock& m_clock;
};

} // namespace HttpUpstream
