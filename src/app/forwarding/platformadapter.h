#pragma once

#include "forwardinghost/platformcodec.h"
#include "httpclient/httpclient.h"
#include "httpforward/headernames.h"
#include "httpserver/httpserver.h"
#include "ports/collectionstore.h"

#include <functional>
#include <memory>

namespace App {

/// Answer to a look-up: the entry VMs that a caller should use, and the lifetime of the answer.
struct LookupReply {
    std::vector<Core::Address> entryVms;
    Core::Millis lifetime { 0 };
};

/// Provides the parts of a forwarding process that depend on the platform: the store and its codec, the header names,
/// and the HTTP handlers for readiness checks and look-ups.
class PlatformAdapter {
public:
    virtual ~PlatformAdapter() = default;
    [[nodiscard]] virtual auto codec() const -> const ForwardingHost::PlatformCodec& = 0;
    [[nodiscard]] virtual auto headerNames() const -> HttpForward::HeaderNames = 0;
    [[nodiscard]] virtual auto makeStore(HttpClient::Client& client) const
        -> std::unique_ptr<Ports::CollectionStore> = 0;
    /// Creates the handler that reports whether this VM accepts callers.
    [[nodiscard]] virtual auto makeReadinessHandler(std::function<bool()> isReady) const
        -> std::unique_ptr<HttpServer::HttpHandler> = 0;
    /// Creates the handler for look-ups by callers. A reply without entry VMs means that this VM has no answer.
    [[nodiscard]] virtual auto makeLookupHandler(std::function<LookupReply()> lookupReply) const
        -> std::unique_ptr<HttpServer::HttpHandler> = 0;
};

} // namespace App
