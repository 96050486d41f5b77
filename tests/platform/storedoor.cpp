#include "platform/storedoor.h"

namespace PlatformTest {

StoreDoor::StoreDoor(ObjectStandIn& store)
    : m_store(store)
{
}

auto StoreDoor::setTurningAway(bool isTurningAway) -> void { m_isTurningAway = isTurningAway; }

auto StoreDoor::handle(HttpServer::HttpRequest request, Respond respond) -> void
{
    if (m_isTurningAway)
        m_store.refuse(respond);
    else
        m_store.handle(std::move(request), std::move(respond));
}

auto StoreDoor::malformedResponse(boost::beast::http::status status, const std::string& detail)
    -> HttpServer::HttpResponse
{
    return m_store.malformedResponse(status, detail);
}

} // namespace PlatformTest
