#pragma once

#include "ports/peertransport.h"
#include "quotas/permitmessage.h"

namespace QuotaPeer {

/// Sends messages about permits as CBOR over the transport between entry VMs.
class QuotaPeer : public Quotas::PermitPort {
public:
    explicit QuotaPeer(Ports::PeerTransport& transport);

    auto send(const Core::Address& vm, const Quotas::PermitMessage& message, ReplyCallback callback) -> void override;

private:
    Ports::PeerTransport& m_transport;
};

using Receiver = std::function<Quotas::PermitReply(const Quotas::PermitMessage&)>;

/// Registers the handler of such messages.
auto registerPermitHandler(Ports::PeerRouter& router, Receiver receiver) -> void;

} // namespace QuotaPeer
