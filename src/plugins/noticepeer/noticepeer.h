#pragma once

#include "forwarding/upstreamnotice.h"
#include "ports/peertransport.h"

namespace NoticePeer {

/// Sends notices about upstreams as CBOR messages over the transport between entry VMs.
class NoticePeer : public Forwarding::UpstreamNoticePort {
public:
    explicit NoticePeer(Ports::PeerTransport& transport);

    auto send(const Core::Address& entryVm, const Forwarding::UpstreamNotice& notice) -> void override;

private:
    auto send(const Core::Address& entryVm, const Ports::PeerMessage& message, int attemptsLeft) -> void;

    Ports::PeerTransport& m_transport;
};

/// Registers the handler of such notices.
auto registerNoticeHandler(Ports::PeerRouter& router, Forwarding::UpstreamNoticeReceiver receiver) -> void;

} // namespace NoticePeer
