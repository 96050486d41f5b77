#pragma once

#include "platform/objectstandin.h"

#include <atomic>

namespace PlatformTest {

/// One entry VM's way to the store, which may turn that VM away while it serves the others.
class StoreDoor : public HttpServer::HttpHandler {
public:
    explicit StoreDoor(ObjectStandIn& store);

    /// While set, answers every new call with 503.
    auto setTurningAway(bool isTurningAway) -> void;

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto malformedResponse(boost::beast::http::status status, const std::string& detail)
        -> HttpServer::HttpResponse override;

private:
    ObjectStandIn& m_store;
    std::atomic<bool> m_isTurningAway { false };
};

} // namespace PlatformTest
