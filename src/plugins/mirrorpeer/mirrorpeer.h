#pragma once

#include "ports/peertransport.h"
#include "storesync/mirrorhost.h"

namespace MirrorPeer {

/// Polls for news of collections with CBOR messages over the transport between entry VMs.
class MirrorPeer : public StoreSync::MirrorPort {
public:
    explicit MirrorPeer(Ports::PeerTransport& transport);

    auto poll(const Core::Address& peer, const StoreSync::MirrorPoll& poll, Callback callback) -> void override;

private:
    Ports::PeerTransport& m_transport;
};

/// Registers the handler that answers such polls.
auto registerMirrorHandler(Ports::PeerRouter& router, std::shared_ptr<StoreSync::MirrorHost> host) -> void;

} // namespace MirrorPeer
