#pragma once

#include "forwardinghost/platformcodec.h"
#include "httpclient/httpclient.h"
#include "httpforward/headernames.h"
#include "httpserver/httpserver.h"
#include "ports/collectionstore.h"

#include <functional>
#include <memory>

namespace App {

/// Entry VMs that a caller should use.
struct CallerDirections {
    std::vector<Core::Address> entryVms;
    Core::Millis lifetime { 0 };
};

/// What a platform brings to a forwarding process: its store, its names and its small HTTP interfaces.
class PlatformAdapter {
public:
    virtual ~PlatformAdapter() = default;
    [[nodiscard]] virtual auto codec() const -> const ForwardingHost::PlatformCodec& = 0;
    [[nodiscard]] virtual auto headerNames() const -> HttpForward::HeaderNames = 0;
    [[nodiscard]] virtual auto makeStore(HttpClient::Client& client) const
        -> std::unique_ptr<Ports::CollectionStore> = 0;
    /// Answers whether this VM takes callers.
    [[nodiscard]] virtual auto makeReadinessHandler(std::function<bool()> isReady) const
        -> std::unique_ptr<HttpServer::HttpHandler> = 0;
    /// Answers callers that ask where to connect; empty directions mean that this VM can't tell.
    [[nodiscard]] virtual auto makeLookupHandler(std::function<CallerDirections()> directions) const
        -> std::unique_ptr<HttpServer::HttpHandler> = 0;
};

} // namespace App
