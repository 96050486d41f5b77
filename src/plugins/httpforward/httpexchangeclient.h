#pragma once

#include "httpclient/httpclient.h"
#include "httpforward/headernames.h"
#include "ports/exchangeclient.h"

namespace HttpForward {

/// Sends requests to upstreams over HTTP/1.1, unchanged except for connection headers and the headers that this system
/// sets itself.
class HttpExchangeClient : public Ports::ExchangeClient {
public:
    HttpExchangeClient(HttpClient::Client& client, HeaderNames names);

    auto start(Ports::ExchangeCall call, ResultCallback callback) -> std::shared_ptr<Ports::Exchange> override;
    auto probeHealth(const Ports::UpstreamTarget& target, const std::string& path, HealthCallback callback)
        -> void override;

private:
    [[nodiscard]] auto encode(const Ports::ExchangeCall& call) const -> HttpClient::HttpRequest;
    [[nodiscard]] auto decode(HttpClient::Exchange exchange) const -> Ports::ExchangeResult;
    [[nodiscard]] auto decodeSignals(const HttpClient::HttpResponse& response) const -> Ports::UpstreamSignals;
    [[nodiscard]] auto decodeLoad(const HttpClient::HttpResponse& response) const -> std::optional<Ports::ReportedLoad>;
    [[nodiscard]] auto decodeHealth(const HttpClient::HttpResponse& response) const
        -> Core::Result<Ports::HealthReport>;

    HttpClient::Client& m_client;
    const HeaderNames m_names;
};

} // namespace HttpForward
