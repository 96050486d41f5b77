#pragma once

#include "ports/peertransport.h"

#include <map>
#include <memory>
#include <mutex>

namespace PeerStream {

/// Thread-safe registry of the handlers for messages from other entry VMs, keyed by message kind.
class HandlerTable : public Ports::PeerRouter {
public:
    auto registerHandler(std::string kind, Handler handler) -> void override;
    /// Calls the handler registered for the message's kind, or responds with NotFound if there is none.
    auto dispatch(Ports::PeerMessage message, const Respond& respond) const -> void;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<const Handler>, std::less<>> m_handlers;
};

} // namespace PeerStream
