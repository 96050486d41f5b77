#include "peerstream/handlertable.h"

#include <memory>

namespace PeerStream {

auto HandlerTable::registerHandler(std::string kind, Handler handler) -> void
{
    const std::lock_guard lock(m_mutex);
    m_handlers[std::move(kind)] = std::make_shared<const Handler>(std::move(handler));
}

auto HandlerTable::dispatch(Ports::PeerMessage message, const Respond& respond) const -> void
{
    std::shared_ptr<const Handler> handler;
    {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_handlers.find(message.kind); found != m_handlers.end())
            handler = found->second;
    }
    if (!handler) {
        respond(Core::fail(Core::ErrorKind::NotFound,
            "no handler is registered for messages of kind '" + message.kind + "'",
            "run the same release on all entry VMs"));
        return;
    }
    (*handler)(std::move(message.payload), respond);
}

} // namespace PeerStream
