#pragma once

#include "forwarding/upstreamnotice.h"
#include "ports/peertransport.h"

namespace NoticePeer {

/// Sends notices about upstreams as CBOR messages over the transport between entry VMs.
class NoticePeer : public Forwarding::UpstreamNoticePort {
public:
    explicit NoticePeer(Ports::PeerTransport& transport);

    auto send(const Core::Address& entryVm, const Forwarding::UpstreamNotices& notices, DoneCallback callback)
        -> void override;

private:
    Ports::PeerTransport& m_transport;
};

/// Registers the handler of such notices.
auto registerNoticeHandler(Ports::PeerRouter& router, Forwarding::UpstreamNoticeReceiver receiver) -> void;

} // namespace NoticePeer
